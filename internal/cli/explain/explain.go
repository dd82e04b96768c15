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
	// maxLine bounds one line of a log, in bytes; longer ones are passed over.
	maxLine = 1 << 20
	// maxLines bounds the lines that are kept.
	maxLines = 20_000
	// progressEvery is how often progress is told, in bytes read.
	progressEvery = 64 << 20
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

// line is one line of a log.
type line struct {
	Time        time.Time      `json:"time"`
	Process     string         `json:"where,omitempty"`
	EventName   string         `json:"name"`
	EventNumber int            `json:"event"`
	Fields      map[string]any `json:"facts"`
	// Gap is the time since the line before.
	Gap time.Duration `json:"gap"`
}

// life is the result.
type life struct {
	ID    string `json:"id"`
	Lines []line `json:"lines"`
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
		return c.all(ctx, env)
	}
	r := &reader{id: args[0]}
	s := source{err: env.Err, take: r.take}
	if err := s.files(ctx, env, c.Logs); err != nil {
		return err
	}
	r.foreign = s.foreign
	l := r.life()
	if len(l.Lines) == 0 {
		return verb.UsageError("Check the id, and that the logs cover its time.", "no line about %s; %d lines are not of gypsumreel", args[0], r.foreign)
	}
	return c.Print(env.Out, l, l.grid())
}

// all prints what became of all flows.
func (c *command) all(ctx context.Context, env verb.Env) error {
	n := &census{flows: map[string]*journey{}}
	s := source{err: env.Err, take: n.take}
	if err := s.files(ctx, env, c.Logs); err != nil {
		return err
	}
	n.foreign = s.foreign
	if len(n.flows) == 0 {
		return verb.UsageError("Check that the logs are those of control replicas and entries.", "no line about a flow; %d lines are not of gypsumreel", n.foreign)
	}
	sum := n.summary()
	return c.Print(env.Out, sum, sum.grid())
}

// reader collects the lines about one id.
type reader struct {
	id      string
	own     []line
	group   []line
	foreign int
	left    int
}

// source reads logs line by line.
type source struct {
	err io.Writer
	// take takes a line: the object, and what stands before it; false when it is none
	// of gypsumreel's.
	take func(before, object []byte) bool
	// foreign counts the lines that are not of gypsumreel.
	foreign int
	read    int64
	told    int64
}

func (r *source) files(ctx context.Context, env verb.Env, names []string) error {
	for _, name := range names {
		if err := r.file(ctx, env, name); err != nil {
			return err
		}
	}
	return nil
}

func (r *source) file(ctx context.Context, env verb.Env, name string) error {
	in := env.In
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	s := bufio.NewReaderSize(in, maxLine)
	for ctx.Err() == nil {
		b, err := s.ReadSlice('\n')
		for err == bufio.ErrBufferFull {
			r.foreign++
			_, err = s.ReadSlice('\n')
			b = nil
		}
		r.split(b)
		r.progress(name, len(b))
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return ctx.Err()
}

// split hands a line on in its two parts.
func (r *source) split(b []byte) {
	b = bytes.TrimSpace(b)
	if len(b) == 0 {
		return
	}
	start := bytes.IndexByte(b, '{')
	if start < 0 || !r.take(b[:start], b[start:]) {
		r.foreign++
	}
}

func (r *source) progress(name string, n int) {
	if r.read += int64(n); r.read-r.told >= progressEvery {
		r.told = r.read
		fmt.Fprintf(r.err, "%s: %d MiB read\n", name, r.read>>20)
	}
}

// take keeps a line that is about the id, or about who led meanwhile. What
// stands before the object, such as a process's name, says where it is from.
func (r *reader) take(before, object []byte) bool {
	about := bytes.Contains(before, []byte(r.id)) || bytes.Contains(object, []byte(r.id))
	if !about && !bytes.Contains(object, []byte(`"leader-`)) && !bytes.Contains(object, []byte(`"quorum-lost"`)) {
		return true
	}
	l, ok := parse(object)
	if !ok {
		return false
	}
	if fields := strings.Fields(string(before)); len(fields) > 0 {
		l.Process = fields[len(fields)-1]
	}
	switch {
	case len(r.own)+len(r.group) >= maxLines:
		r.left++
	case about:
		r.own = append(r.own, l)
	default:
		r.group = append(r.group, l)
	}
	return true
}

// parse reads one line; false when it is none of ours.
func parse(b []byte) (line, bool) {
	var m map[string]any
	if json.Unmarshal(b, &m) != nil {
		return line{}, false
	}
	text, _ := m["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, text)
	name, ok := m["name"].(string)
	number, _ := m["event"].(float64)
	if err != nil || !ok {
		return line{}, false
	}
	for _, k := range []string{"time", "level", "msg", "event", "name"} {
		delete(m, k)
	}
	return line{Time: at, EventName: name, EventNumber: int(number), Fields: m}, true
}

// life puts the lines in order, with those of the control group that fall
// between the first and the last.
func (r *reader) life() life {
	byTime := func(a, b line) int { return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.EventNumber, b.EventNumber)) }
	slices.SortStableFunc(r.own, byTime)
	out := life{ID: r.id, Lines: r.own, ForeignLines: r.foreign, OmittedLines: r.left}
	if len(r.own) == 0 {
		return out
	}
	first, last := r.own[0].Time, r.own[len(r.own)-1].Time
	for _, l := range r.group {
		if l.Time.After(first) && l.Time.Before(last) {
			out.Lines = append(out.Lines, l)
		}
	}
	slices.SortStableFunc(out.Lines, byTime)
	for i := 1; i < len(out.Lines); i++ {
		gap := out.Lines[i].Time.Sub(out.Lines[i-1].Time)
		out.Lines[i].Gap = gap
		if gap > out.LongestGap {
			out.LongestGap, out.EventBeforeGap = gap, out.Lines[i-1].EventName
		}
	}
	return out
}

func (l life) grid() verb.TextTable {
	g := verb.TextTable{Header: []string{"time", "gap", "where", "event", "facts"}}
	for _, one := range l.Lines {
		g.Rows = append(g.Rows, []string{
			one.Time.Format("15:04:05.000"), one.Gap.Round(time.Millisecond).String(), one.Process,
			fmt.Sprintf("%d %s", one.EventNumber, one.EventName), facts(one.Fields),
		})
	}
	g.Rows = append(g.Rows, []string{"", "", "", "", fmt.Sprintf("longest gap %v, after %s; %d lines are not of gypsumreel, %d were left out", l.LongestGap.Round(time.Millisecond), l.EventBeforeGap, l.ForeignLines, l.OmittedLines)})
	return g
}

// facts prints the values of a line, in the order of their names.
func facts(m map[string]any) string {
	var out []string
	for k, v := range m {
		out = append(out, fmt.Sprintf("%s=%v", k, v))
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}
