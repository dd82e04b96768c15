// Command stand2 plays the cases of the second review: it starts the project's own processes on
// loopback addresses, with stand-ins for clients, backend servers and the platform beside them, and
// checks one rule.
package main

import (
	"context"
	_ "embed"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxPlay limits the time of a case.
const maxPlay = 115 * time.Second

//go:embed names.json
var namesFile []byte

// names holds the words of the wire by what they stand for.
var names = map[string]any{}

// word returns a word of the wire.
func word(name string) string {
	s, ok := names[name].(string)
	if !ok {
		panic("no word for " + name)
	}
	return s
}

// record is the record of a case: what was sent, answered and run.
type record struct {
	mu     sync.Mutex
	file   *os.File
	begun  time.Time
	breaks []string
}

// note writes a line to the record.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// broken writes down that the rule is broken.
func (r *record) broken(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.note("RULE BROKEN: %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breaks = append(r.breaks, text)
}

// isBroken reports whether the rule was broken.
func (r *record) isBroken() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.breaks) > 0
}

// cases holds what is played, by name. A case returns an error if it could not run.
var cases = map[string]func(ctx context.Context, c *cell, trouble bool) error{}

func main() {
	name := flag.String("case", "", "the case to play")
	recordPath := flag.String("record", "record.txt", "the file for the record")
	trouble := flag.String("trouble", "1", "0 plays the case without its disruption")
	program := flag.String("program", "target/gypsumnode", "the program of the deploy file")
	templates := flag.String("templates", "deploy", "the folder of the settings templates")
	keep := flag.String("keep", "", "a folder for settings and logs that is kept; empty for a temporary one")
	flag.Parse()
	os.Exit(play(*name, *recordPath, *trouble != "0", *program, *templates, *keep))
}

// play plays a case and returns the exit code.
func play(name, recordPath string, trouble bool, program, templates, keep string) int {
	if err := json.Unmarshal(namesFile, &names); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	run, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitNotRun
	}
	file, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = file.Close() }()
	r := &record{file: file, begun: time.Now()}
	r.note("case %s, with the disruption: %t", name, trouble)
	ctx, cancel := context.WithTimeout(context.Background(), maxPlay)
	defer cancel()
	c, err := newCell(ctx, r, program, templates, keep)
	if err == nil {
		err = run(ctx, c, trouble)
	}
	if c != nil {
		c.close()
	}
	code := exitHeld
	switch {
	case r.isBroken():
		code = exitBroken
	case err != nil:
		r.note("the case could not run: %v", err)
		code = exitNotRun
	}
	r.note("end, exit code %d", code)
	return code
}
