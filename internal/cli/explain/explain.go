// Package explain implements the verb that reconstructs from the logs of any number of
// processes what happened to one request, or to all of them.
package explain

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"gypsumreel/internal/cli/verb"
)

// Limits for reading logs.
const (
	// maxLineBytes is the maximum length of a log line. Longer lines are skipped.
	maxLineBytes = 1 << 20
	// maxLines is the maximum number of lines kept for a timeline.
	maxLines = 20_000
	// progressInterval is the number of bytes read between two progress messages.
	progressInterval = 64 << 20
)

// New returns the verb.
func New() verb.Verb {
	return verb.Verb{
		Name: "explain", Short: "show from logs what happened to one request, or to all",
		Long:   "Without an ID: counts all flows in the logs by cause of delay, customer and second. With an ID: prints in order of time every log line about the flow ID and about leader changes meanwhile, with the gaps between them. Give - as FILE for standard input. Lines that are not from gypsumreel are counted and skipped.",
		Runner: &command{},
	}
}

type command struct {
	verb.OutputFlag
	Logs []string `long:"logs" value-name:"FILE" required:"true" description:"a log file; may be repeated"`
}

// logLine is one parsed line of a log.
type logLine struct {
	Time time.Time `json:"time"`
	// Process is the last word before the JSON object, usually the name of the process.
	Process     string `json:"where,omitempty"`
	EventName   string `json:"name"`
	EventNumber int    `json:"event"`
	// Fields holds the remaining keys and values of the line.
	Fields map[string]any `json:"facts"`
	// Gap is the time since the previous line of the timeline.
	Gap time.Duration `json:"gap"`
}

// timeline holds the log lines about one id in order of time.
type timeline struct {
	ID    string    `json:"id"`
	Lines []logLine `json:"lines"`
	// LongestGap is the longest time between two consecutive lines.
	LongestGap time.Duration `json:"longest"`
	// EventBeforeGap is the name of the event that precedes the longest gap.
	EventBeforeGap string `json:"after"`
	// ForeignLines is the number of lines that are not from gypsumreel.
	ForeignLines int `json:"foreign"`
	// OmittedLines is the number of matching lines beyond maxLines.
	OmittedLines int `json:"left"`
}

// Run prints the timeline of the id given by args, or a summary of all flows when args
// are empty.
func (c *command) Run(ctx context.Context, env verb.Env, args []string) error {
	if len(args) > 1 || len(args) == 1 && args[0] == "" {
		return verb.UsageError("Run `gypsumreel explain ID --logs FILE`, or without an ID for a summary of all flows.", "explain takes one id, got %d", len(args))
	}
	if len(args) == 0 {
		return c.summarize(ctx, env)
	}
	builder := &timelineBuilder{id: args[0]}
	scanner := logScanner{progressWriter: env.Err, handle: builder.addLine}
	if err := scanner.scanFiles(ctx, env, c.Logs); err != nil {
		return err
	}
	builder.foreignLines = scanner.foreignLines
	timeline := builder.build()
	if len(timeline.Lines) == 0 {
		return verb.UsageError("Check the id, and that the logs cover the time of the flow.", "no log line about %s; %d lines are not from gypsumreel", args[0], builder.foreignLines)
	}
	return c.Print(env.Out, timeline, timeline.textTable())
}

// summarize prints the counts of all flows in the logs.
func (c *command) summarize(ctx context.Context, env verb.Env) error {
	builder := &summaryBuilder{flows: map[string]*flowHistory{}}
	scanner := logScanner{progressWriter: env.Err, handle: builder.addLine}
	if err := scanner.scanFiles(ctx, env, c.Logs); err != nil {
		return err
	}
	builder.foreignLines = scanner.foreignLines
	if len(builder.flows) == 0 {
		return verb.UsageError("Check that the logs are those of control replicas and entries.", "no log line about a flow; %d lines are not from gypsumreel", builder.foreignLines)
	}
	summary := builder.build()
	return c.Print(env.Out, summary, summary.textTable())
}

// timelineBuilder collects the lines about one id.
type timelineBuilder struct {
	id string
	// flowLines holds the lines that contain the id.
	flowLines []logLine
	// leaderLines holds the lines about elections and loss of the leader.
	leaderLines []logLine
	// foreignLines is the number of lines that are not from gypsumreel.
	foreignLines int
	// omittedLines is the number of matching lines beyond maxLines.
	omittedLines int
}

// logScanner reads logs line by line.
type logScanner struct {
	// progressWriter receives the progress messages.
	progressWriter io.Writer
	// handle receives each line as the JSON object and the text before it. It returns
	// false if the line is not from gypsumreel.
	handle func(prefix, object []byte) bool
	// foreignLines is the number of lines that are not from gypsumreel.
	foreignLines int
	// bytesRead is the number of bytes read from all files so far.
	bytesRead int64
	// bytesReported is the value of bytesRead at the last progress message.
	bytesReported int64
}

func (s *logScanner) scanFiles(ctx context.Context, env verb.Env, names []string) error {
	for _, name := range names {
		if err := s.scanFile(ctx, env, name); err != nil {
			return err
		}
	}
	return nil
}

func (s *logScanner) scanFile(ctx context.Context, env verb.Env, name string) error {
	in := env.In
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	lines := bufio.NewReaderSize(in, maxLineBytes)
	for ctx.Err() == nil {
		b, err := lines.ReadSlice('\n')
		for err == bufio.ErrBufferFull {
			s.foreignLines++
			_, err = lines.ReadSlice('\n')
			b = nil
		}
		s.handleLine(b)
		s.reportProgress(name, len(b))
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return ctx.Err()
}

// handleLine splits a line into the JSON object and the text before it and passes both
// to handle.
func (s *logScanner) handleLine(b []byte) {
	b = bytes.TrimSpace(b)
	if len(b) == 0 {
		return
	}
	start := bytes.IndexByte(b, '{')
	if start < 0 || !s.handle(b[:start], b[start:]) {
		s.foreignLines++
	}
}

func (s *logScanner) reportProgress(name string, n int) {
	if s.bytesRead += int64(n); s.bytesRead-s.bytesReported >= progressInterval {
		s.bytesReported = s.bytesRead
		fmt.Fprintf(s.progressWriter, "%s: %d MiB read\n", name, s.bytesRead>>20)
	}
}

// addLine keeps the line if it contains the id or is about the leader. The last word
// before the JSON object becomes the process name. It returns false if the line is not
// from gypsumreel.
func (b *timelineBuilder) addLine(prefix, object []byte) bool {
	matchesID := bytes.Contains(prefix, []byte(b.id)) || bytes.Contains(object, []byte(b.id))
	if !matchesID && !bytes.Contains(object, []byte(`"leader-`)) && !bytes.Contains(object, []byte(`"quorum-lost"`)) {
		return true
	}
	l, ok := parseLine(object)
	if !ok {
		return false
	}
	if fields := strings.Fields(string(prefix)); len(fields) > 0 {
		l.Process = fields[len(fields)-1]
	}
	switch {
	case len(b.flowLines)+len(b.leaderLines) >= maxLines:
		b.omittedLines++
	case matchesID:
		b.flowLines = append(b.flowLines, l)
	default:
		b.leaderLines = append(b.leaderLines, l)
	}
	return true
}

// parseLine parses the JSON object of a line. It returns false if the object lacks the
// time or the event name of a gypsumreel log line.
func parseLine(b []byte) (logLine, bool) {
	var fields map[string]any
	if json.Unmarshal(b, &fields) != nil {
		return logLine{}, false
	}
	timeText, _ := fields["time"].(string)
	loggedAt, err := time.Parse(time.RFC3339Nano, timeText)
	name, ok := fields["name"].(string)
	number, _ := fields["event"].(float64)
	if err != nil || !ok {
		return logLine{}, false
	}
	for _, k := range []string{"time", "level", "msg", "event", "name"} {
		delete(fields, k)
	}
	return logLine{Time: loggedAt, EventName: name, EventNumber: int(number), Fields: fields}, true
}

// build returns the lines in order of time. It includes the lines about the leader that
// lie between the first and the last line about the id.
func (b *timelineBuilder) build() timeline {
	byTime := func(a, b logLine) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.EventNumber, b.EventNumber))
	}
	slices.SortStableFunc(b.flowLines, byTime)
	result := timeline{ID: b.id, Lines: b.flowLines, ForeignLines: b.foreignLines, OmittedLines: b.omittedLines}
	if len(b.flowLines) == 0 {
		return result
	}
	first, last := b.flowLines[0].Time, b.flowLines[len(b.flowLines)-1].Time
	for _, l := range b.leaderLines {
		if l.Time.After(first) && l.Time.Before(last) {
			result.Lines = append(result.Lines, l)
		}
	}
	slices.SortStableFunc(result.Lines, byTime)
	for i := 1; i < len(result.Lines); i++ {
		gap := result.Lines[i].Time.Sub(result.Lines[i-1].Time)
		result.Lines[i].Gap = gap
		if gap > result.LongestGap {
			result.LongestGap, result.EventBeforeGap = gap, result.Lines[i-1].EventName
		}
	}
	return result
}

func (t timeline) textTable() verb.TextTable {
	table := verb.TextTable{Header: []string{"time", "gap", "where", "event", "facts"}}
	for _, line := range t.Lines {
		table.Rows = append(table.Rows, []string{
			line.Time.Format("15:04:05.000"), line.Gap.Round(time.Millisecond).String(), line.Process,
			fmt.Sprintf("%d %s", line.EventNumber, line.EventName), formatFields(line.Fields),
		})
	}
	table.Rows = append(table.Rows, []string{"", "", "", "", fmt.Sprintf("longest gap %v, after %s; %d lines are not from gypsumreel, %d were left out", t.LongestGap.Round(time.Millisecond), t.EventBeforeGap, t.ForeignLines, t.OmittedLines)})
	return table
}

// formatFields returns the fields of a line as key=value pairs sorted by key.
func formatFields(fields map[string]any) string {
	var pairs []string
	for k, v := range fields {
		pairs = append(pairs, fmt.Sprintf("%s=%v", k, v))
	}
	slices.Sort(pairs)
	return strings.Join(pairs, " ")
}
