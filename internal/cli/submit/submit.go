// Package submit implements the verb that submits a job.
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

// maxInputBytes is the maximum size of a job's input.
const maxInputBytes = 4 << 20

// New returns the verb.
func New() verb.Verb {
	return verb.Verb{
		Name: "submit", Short: "submit a job",
		Long: "Submits one job and prints its id. After a lost answer run the same command with the same --id: the job is not created twice. " +
			"With --wait it also waits for the outcome, like the verb wait.",
		Runner: &command{},
	}
}

type command struct {
	remote.Flags
	verb.OutputFlag
	ID         string            `long:"id" description:"request id, unique within the team; generated when left out"`
	Kind       string            `long:"kind" default:"batch" choice:"urgent" choice:"batch" choice:"gang" choice:"service" description:"kind of job, which selects the scheduling policy"`
	Name       string            `long:"name" default:"job" description:"name of the program; run time estimates are learned per name"`
	Count      uint32            `long:"count" default:"1" description:"number of tasks"`
	CPU        float64           `long:"cpu" default:"1" description:"cores for each task"`
	Memory     int64             `long:"memory" default:"256" description:"MiB of memory for each task"`
	Accel      int64             `long:"accel" description:"accelerators for each task"`
	Slots      int64             `long:"slots" default:"1" description:"slots for each task"`
	Runtime    time.Duration     `long:"runtime" description:"estimated run time of a task"`
	Deadline   time.Duration     `long:"deadline" description:"time within which the job has to be placed; otherwise it is refused as not run"`
	AtMostOnce bool              `long:"once" description:"run each task at most once"`
	MinRunning uint32            `long:"floor" description:"for a service: minimum number of tasks that replacement leaves running"`
	Label      map[string]string `long:"label" description:"label as NAME:VALUE; may be repeated"`
	Input      string            `long:"input" description:"text passed to every task"`
	InputFile  string            `long:"input-file" description:"file passed to every task; - for standard input"`
	Wait       bool              `long:"wait" description:"wait for the outcome"`
	AnswerFile string            `long:"out" description:"with --wait: file for the answer instead of standard output"`
}

// submitResult is the result printed with --json.
type submitResult struct {
	ID      string `json:"id"`
	Outcome string `json:"outcome"`
	Code    uint32 `json:"code"`
	Text    string `json:"text"`
}

// Run submits one job and with --wait waits for its outcome.
func (c *command) Run(ctx context.Context, env verb.Env, args []string) error {
	if len(args) > 0 {
		return verb.UsageError("Everything is given by flags: `gypsumreel submit --help`.", "unexpected %q", args[0])
	}
	// A job with an id given by the user may already exist from an earlier run.
	idGenerated := c.ID == ""
	spec, err := c.buildSpec(env)
	if err != nil {
		return err
	}
	client, ctx, cancel, err := c.CallerClient(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	replies, err := client.Submit(ctx, []*v1.Spec{spec}, idGenerated)
	if err != nil {
		return remote.UserError(err)
	}
	if c.Wait && isAccepted(replies[0]) {
		return wait.PrintAnswer(ctx, env, client, spec.GetId(), c.OutputFlag, c.AnswerFile)
	}
	return c.printResult(env, replies[0])
}

// isAccepted reports whether the cell accepted the job.
func isAccepted(accepted *v1.Accepted) bool { return accepted.GetStatus().GetCode() == uint32(code.OK) }

func (c *command) printResult(env verb.Env, accepted *v1.Accepted) error {
	status := accepted.GetStatus()
	result := submitResult{ID: accepted.GetId(), Outcome: verb.OutcomeName(accepted.GetOutcome()), Code: status.GetCode(), Text: code.Code(status.GetCode()).String()}
	table := verb.TextTable{Header: []string{"ID", "OUTCOME", "CODE", "TEXT"}, Rows: [][]string{{result.ID, result.Outcome, strconv.FormatUint(uint64(result.Code), 10), result.Text}}}
	if err := c.Print(env.Out, result, table); err != nil {
		return err
	}
	if isAccepted(accepted) {
		return nil
	}
	return remote.UserError(transport.StatusError(status))
}

// buildSpec builds the job from the flags. It generates an id if none was given.
func (c *command) buildSpec(env verb.Env) (*v1.Spec, error) {
	const milliPerCore = 1000
	input, err := c.readInput(env)
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
		Id: c.ID, Kind: kindsByName[c.Kind], Name: c.Name, Count: c.Count,
		Size:    &v1.Size{Cpu: int64(c.CPU * milliPerCore), Memory: c.Memory, Accel: c.Accel, Slots: c.Slots},
		Runtime: uint64(c.Runtime.Milliseconds()), Deadline: uint64(c.Deadline.Milliseconds()),
		Once: c.AtMostOnce, Floor: c.MinRunning, Labels: c.Label, Input: input,
	}, nil
}

var kindsByName = map[string]v1.Kind{
	"urgent":  v1.Kind_KIND_URGENT,
	"batch":   v1.Kind_KIND_BATCH,
	"gang":    v1.Kind_KIND_GANG,
	"service": v1.Kind_KIND_SERVICE,
}

// readInput returns the text of --input or the content of --input-file.
func (c *command) readInput(env verb.Env) ([]byte, error) {
	switch {
	case c.InputFile == "":
		return []byte(c.Input), nil
	case c.Input != "":
		return nil, verb.UsageError("Give only one of them.", "--input and --input-file are both given")
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
	input, err := io.ReadAll(io.LimitReader(in, maxInputBytes+1))
	switch {
	case err != nil:
		return nil, verb.UsageError("Check --input-file.", "%v", err)
	case len(input) > maxInputBytes:
		return nil, verb.UsageError("Pass a reference to the data instead.", "the input is larger than %d bytes", maxInputBytes)
	}
	return input, nil
}
