// Package submit is the verb that hands a job to the cell.
package submit

import (
	"context"
	"io"
	"os"
	"strconv"
	"time"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/cli/remote"
	"gypsumreel/internal/cli/verb"
	"gypsumreel/internal/cli/wait"
	"gypsumreel/internal/client/transport"
)

// maxInput bounds a job's input in bytes.
const maxInput = 4 << 20

// New returns the verb.
func New() verb.Verb {
	return verb.Verb{
		Name: "submit", Short: "submit a job",
		Long: "Submits one job and prints its id. After a lost answer run the same command with the same --id: the job is not made twice. " +
			"With --wait it also waits for the outcome, as the verb wait does.",
		Runner: &command{},
	}
}

type command struct {
	remote.Flags
	verb.OutputFlag
	ID         string            `long:"id" description:"request id, unique within the team; made when left out"`
	Kind       string            `long:"kind" default:"batch" choice:"urgent" choice:"batch" choice:"gang" choice:"service" description:"which policy decides"`
	Name       string            `long:"name" default:"job" description:"name of the program; estimates are learned by it"`
	Count      uint32            `long:"count" default:"1" description:"number of tasks"`
	CPU        float64           `long:"cpu" default:"1" description:"cores for each task"`
	Memory     int64             `long:"memory" default:"256" description:"MiB of memory for each task"`
	Accel      int64             `long:"accel" description:"accelerators for each task"`
	Slots      int64             `long:"slots" default:"1" description:"slots for each task"`
	Runtime    time.Duration     `long:"runtime" description:"estimated run time of a task"`
	Deadline   time.Duration     `long:"deadline" description:"refuse as not run what is not placed by then"`
	AtMostOnce bool              `long:"once" description:"run each task at most once"`
	MinRunning uint32            `long:"floor" description:"for a service: tasks that replacement leaves running"`
	Label      map[string]string `long:"label" description:"label as NAME:VALUE; may be repeated"`
	Input      string            `long:"input" description:"text passed to every task"`
	InputFile  string            `long:"input-file" description:"file passed to every task; - for standard input"`
	Wait       bool              `long:"wait" description:"wait for the outcome"`
	AnswerFile string            `long:"out" description:"with --wait: file for the answer instead of standard output"`
}

// receipt is the result with --json.
type receipt struct {
	ID      string `json:"id"`
	Outcome string `json:"outcome"`
	Code    uint32 `json:"code"`
	Text    string `json:"text"`
}

// Run submits and, if asked, waits.
func (c *command) Run(ctx context.Context, env verb.Env, args []string) error {
	if len(args) > 0 {
		return verb.UsageError("Everything is given by flags: `gypsumreel submit --help`.", "unexpected %q", args[0])
	}
	// An id that the user chose may have been sent by an earlier run.
	fresh := c.ID == ""
	spec, err := c.spec(env)
	if err != nil {
		return err
	}
	client, ctx, cancel, err := c.CallerClient(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	out, err := client.Submit(ctx, []*v1.Spec{spec}, fresh)
	if err != nil {
		return remote.UserError(err)
	}
	if c.Wait && accepted(out[0]) {
		return wait.PrintAnswer(ctx, env, client, spec.GetId(), c.OutputFlag, c.AnswerFile)
	}
	return c.report(env, out[0])
}

func accepted(a *v1.Accepted) bool { return a.GetStatus().GetCode() == uint32(code.OK) }

func (c *command) report(env verb.Env, a *v1.Accepted) error {
	s := a.GetStatus()
	r := receipt{ID: a.GetId(), Outcome: verb.OutcomeName(a.GetOutcome()), Code: s.GetCode(), Text: code.Code(s.GetCode()).String()}
	g := verb.TextTable{Header: []string{"ID", "OUTCOME", "CODE", "TEXT"}, Rows: [][]string{{r.ID, r.Outcome, strconv.FormatUint(uint64(r.Code), 10), r.Text}}}
	if err := c.Print(env.Out, r, g); err != nil {
		return err
	}
	if accepted(a) {
		return nil
	}
	return remote.UserError(transport.StatusError(s))
}

func (c *command) spec(env verb.Env) (*v1.Spec, error) {
	const milli = 1000
	input, err := c.input(env)
	if err != nil {
		return nil, err
	}
	if c.ID == "" {
		c.ID = remote.NewID()
	}
	if c.Runtime < 0 || c.Deadline < 0 || c.CPU < 0 || c.Memory < 0 || c.Accel < 0 || c.Slots < 0 {
		return nil, verb.UsageError("Give amounts of 0 or more.", "an amount is negative")
	}
	return &v1.Spec{
		Id: c.ID, Kind: kinds[c.Kind], Name: c.Name, Count: c.Count,
		Size:    &v1.Size{Cpu: int64(c.CPU * milli), Memory: c.Memory, Accel: c.Accel, Slots: c.Slots},
		Runtime: uint64(c.Runtime.Milliseconds()), Deadline: uint64(c.Deadline.Milliseconds()),
		Once: c.AtMostOnce, Floor: c.MinRunning, Labels: c.Label, Input: input,
	}, nil
}

var kinds = map[string]v1.Kind{
	"urgent":  v1.Kind_KIND_URGENT,
	"batch":   v1.Kind_KIND_BATCH,
	"gang":    v1.Kind_KIND_GANG,
	"service": v1.Kind_KIND_SERVICE,
}

func (c *command) input(env verb.Env) ([]byte, error) {
	switch {
	case c.InputFile == "":
		return []byte(c.Input), nil
	case c.Input != "":
		return nil, verb.UsageError("Give one of them.", "--input and --input-file are both given")
	}
	in := env.In
	if c.InputFile != "-" {
		f, err := os.Open(c.InputFile)
		if err != nil {
			return nil, verb.UsageError("Check --input-file.", "%v", err)
		}
		defer f.Close()
		in = f
	}
	b, err := io.ReadAll(io.LimitReader(in, maxInput+1))
	switch {
	case err != nil:
		return nil, verb.UsageError("Check --input-file.", "%v", err)
	case len(b) > maxInput:
		return nil, verb.UsageError("Pass a reference to the data instead.", "the input exceeds %d bytes", maxInput)
	}
	return b, nil
}
