// Package explain is the verb that tells the life of one request from the logs
// of any number of processes.
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

// Bounds of what is read.
const (
	// maxLineBytes bounds one line of a log, in bytes; longer ones are passed over.
	maxLineBytes = 1 << 20
	// maxLines bounds the lines that are kept.
	maxLines = 20_000
	// progressInterval is how often progress is told, in bytes read.
	progressInterval = 64 << 20
)

// New returns the verb.
func New() verb.Verb {
	return verb.Verb{
		Name: "explain", Short: "tell the life of a request, or what became of all, from logs",
		Long:   "Without an ID: counts what became of all flows of the logs, by cause, customer and second. With one: reads the logs named (- for standard input) and prints, in the order of time, every line about the flow ID and what befell the control group meanwhile, with the gaps between them. Lines that are not of gypsumreel are counted and passed over.",
		Runner: &command{},
	}
}

type command struct {
	verb.OutputFlag
	Logs []string `long:"logs" value-name:"FILE" required:"true" description:"a log file; may be given several times"`
}

// logLine is one line of a log.
type logLine struct {
	Time        time.Time      `json:"time"`
	Process     string         `json:"where,omitempty"`
	EventName   string         `json:"name"`
	EventNumber int            `json:"event"`
	Fields      map[string]any `json:"facts"`
	// Gap is the time since the line before.
	Gap time.Duration `json:"gap"`
}

// timeline is the result.
type timeline struct {
	ID    string    `json:"id"`
	Lines []logLine `json:"lines"`
	// LongestGap is the longest gap, After the event that it follows.
	LongestGap     time.Duration `json:"longest"`
	EventBeforeGap string        `json:"after"`
	ForeignLines   int           `json:"foreign"`
	OmittedLines   int           `json:"left"`
}

// Run prints the life of the one id named.
func (c *command) Run(ctx context.Context, env verb.Env, args []string) error {
	if len(args) > 1 || len(args) == 1 && args[0] == "" {
		return verb.UsageError("Run `gypsumreel explain ID --logs FILE`, or without an ID for all of them.", "explain takes one id, got %d", len(args))
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
		return verb.UsageError("Check the id, and that the logs cover its time.", "no line about %s; %d lines are not of gypsumreel", args[0], builder.foreignLines)
	}
	return c.Print(env.Out, timeline, timeline.textTable())
}

// summarize prints what became of all flows.
func (c *command) summarize(ctx context.Context, env verb.Env) error {
	builder := &summaryBuilder{flows: map[string]*flowHistory{}}
	scanner := logScanner{progressWriter: env.Err, handle: builder.addLine}
	if err := scanner.scanFiles(ctx, env, c.Logs); err != nil {
		return err
	}
	builder.foreignLines = scanner.foreignLines
	if len(builder.flows) == 0 {
		return verb.UsageError("Check that the logs are those of control replicas and entries.", "no line about a flow; %d lines are not of gypsumreel", builder.foreignLines)
	}
	summary := builder.build()
	return c.Print(env.Out, summary, summary.textTable())
}

// timelineBuilder collects the lines about one id.
type timelineBuilder struct {
	id           string
	flowLines    []logLine
	leaderLines  []logLine
	foreignLines int
	omittedLines int
}

// logScanner reads logs line by line.
type logScanner struct {
	progressWriter io.Writer
	// handle takes a line: the object, and what stands before it; false when it is none
	// of gypsumreel's.
	handle func(before, object []byte) bool
	// foreignLines counts the lines that are not of gypsumreel.
	foreignLines  int
	bytesRead     int64
	bytesReported int64
}

func (r *logScanner) scanFiles(ctx context.Context, env verb.Env, names []string) error {
	for _, name := range names {
		if err := r.scanFile(ctx, env, name); err != nil {
			return err
		}
	}
	return nil
}

func (r *logScanner) scanFile(ctx context.Context, env verb.Env, name string) error {
	in := env.In
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	s := bufio.NewReaderSize(in, maxLineBytes)
	for ctx.Err() == nil {
		b, err := s.ReadSlice('\n')
		for err == bufio.ErrBufferFull {
			r.foreignLines++
			_, err = s.ReadSlice('\n')
			b = nil
		}
		r.handleLine(b)
		r.reportProgress(name, len(b))
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return ctx.Err()
}

// handleLine hands a line on in its two parts.
func (r *logScanner) handleLine(b []byte) {
	b = bytes.TrimSpace(b)
	if len(b) == 0 {
		return
	}
	start := bytes.IndexByte(b, '{')
	if start < 0 || !r.handle(b[:start], b[start:]) {
		r.foreignLines++
	}
}

func (r *logScanner) reportProgress(name string, n int) {
	if r.bytesRead += int64(n); r.bytesRead-r.bytesReported >= progressInterval {
		r.bytesReported = r.bytesRead
		fmt.Fprintf(r.progressWriter, "%s: %d MiB read\n", name, r.bytesRead>>20)
	}
}

// addLine keeps a line that is about the id, or about who led meanwhile. What
// stands before the object, such as a process's name, says where it is from.
func (r *timelineBuilder) addLine(prefix, object []byte) bool {
	matchesID := bytes.Contains(prefix, []byte(r.id)) || bytes.Contains(object, []byte(r.id))
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
	case len(r.flowLines)+len(r.leaderLines) >= maxLines:
		r.omittedLines++
	case matchesID:
		r.flowLines = append(r.flowLines, l)
	default:
		r.leaderLines = append(r.leaderLines, l)
	}
	return true
}

// parseLine reads one line; false when it is none of ours.
func parseLine(b []byte) (logLine, bool) {
	var fields map[string]any
	if json.Unmarshal(b, &fields) != nil {
		return logLine{}, false
	}
	timeText, _ := fields["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, timeText)
	name, ok := fields["name"].(string)
	number, _ := fields["event"].(float64)
	if err != nil || !ok {
		return logLine{}, false
	}
	for _, k := range []string{"time", "level", "msg", "event", "name"} {
		delete(fields, k)
	}
	return logLine{Time: at, EventName: name, EventNumber: int(number), Fields: fields}, true
}

// build puts the lines in order, with those of the control group that fall
// between the first and the last.
func (r *timelineBuilder) build() timeline {
	byTime := func(a, b logLine) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.EventNumber, b.EventNumber))
	}
	slices.SortStableFunc(r.flowLines, byTime)
	result := timeline{ID: r.id, Lines: r.flowLines, ForeignLines: r.foreignLines, OmittedLines: r.omittedLines}
	if len(r.flowLines) == 0 {
		return result
	}
	first, last := r.flowLines[0].Time, r.flowLines[len(r.flowLines)-1].Time
	for _, l := range r.leaderLines {
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

func (l timeline) textTable() verb.TextTable {
	g := verb.TextTable{Header: []string{"time", "gap", "where", "event", "facts"}}
	for _, line := range l.Lines {
		g.Rows = append(g.Rows, []string{
			line.Time.Format("15:04:05.000"), line.Gap.Round(time.Millisecond).String(), line.Process,
			fmt.Sprintf("%d %s", line.EventNumber, line.EventName), formatFields(line.Fields),
		})
	}
	g.Rows = append(g.Rows, []string{"", "", "", "", fmt.Sprintf("longest gap %v, after %s; %d lines are not of gypsumreel, %d were left out", l.LongestGap.Round(time.Millisecond), l.EventBeforeGap, l.ForeignLines, l.OmittedLines)})
	return g
}

// formatFields prints the values of a line, in the order of their names.
func formatFields(m map[string]any) string {
	var out []string
	for k, v := range m {
		out = append(out, fmt.Sprintf("%s=%v", k, v))
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}
