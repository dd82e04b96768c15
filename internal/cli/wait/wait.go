// Package wait is the verb that waits for a job and prints its whole answer.
package wait

import (
	"context"
	"fmt"
	"os"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/cli/remote"
	"gypsumreel/internal/cli/verb"
	"gypsumreel/internal/client/caller"
)

// perms are those of a file with an answer.
const perms = 0o600

// New returns the verb.
func New() verb.Verb {
	return verb.Verb{
		Name: "wait", Short: "wait for a job's outcome and answer",
		Long: "Waits for the outcome of the job with the given ID and prints its answer, whole or not at all. " +
			"Exit code 0: done; 1: done, but failed or stopped; 4: not run; 5: unknown; 7: not finished within --timeout.",
		Runner: &command{},
	}
}

type command struct {
	remote.Flags
	verb.OutputFlag
	AnswerFile string `long:"out" description:"file for the answer instead of standard output"`
}

// Run waits for the one job named.
func (c *command) Run(ctx context.Context, env verb.Env, args []string) error {
	if len(args) != 1 {
		return verb.UsageError("Run `gypsumreel wait ID`.", "wait takes one id, got %d", len(args))
	}
	client, ctx, cancel, err := c.CallerClient(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	return PrintAnswer(ctx, env, client, args[0], c.OutputFlag, c.AnswerFile)
}

// answer is the result with --json.
type answer struct {
	ID      string `json:"id"`
	Outcome string `json:"outcome"`
	Code    uint32 `json:"code"`
	Text    string `json:"text"`
	// Data is base64 in JSON.
	Data []byte `json:"data,omitempty"`
}

// PrintAnswer waits for a job and prints its answer to a file, or to standard output
// when no file is named.
func PrintAnswer(ctx context.Context, env verb.Env, client *caller.Client, id string, o verb.OutputFlag, file string) error {
	r, err := client.Wait(ctx, id)
	if err != nil {
		return remote.UserError(err)
	}
	if err := write(env, r, o, file); err != nil {
		return err
	}
	return verdict(r)
}

func write(env verb.Env, r caller.Result, o verb.OutputFlag, file string) error {
	if file != "" && r.Outcome == v1.Outcome_OUTCOME_DONE {
		if err := os.WriteFile(file, r.Data, perms); err != nil {
			return verb.UsageError("Check --out, then run `gypsumreel wait` with the same id.", "%v", err)
		}
		r.Data = nil
	}
	if o.JSON {
		return o.Print(env.Out, answer{ID: r.ID, Outcome: verb.OutcomeName(r.Outcome), Code: uint32(r.Code), Text: r.Code.String(), Data: r.Data}, verb.TextTable{})
	}
	_, err := env.Out.Write(r.Data)
	return err
}

// verdict turns an outcome into an exit code.
func verdict(r caller.Result) error {
	fail := func(exit verb.ExitCode, next string) error {
		return &verb.Error{ExitCode: exit, Message: fmt.Sprintf("job %s: %s: %d: %s", r.ID, verb.OutcomeName(r.Outcome), uint32(r.Code), r.Code), Advice: next}
	}
	switch r.Outcome {
	case v1.Outcome_OUTCOME_DONE:
		if r.Code == code.OK {
			return nil
		}
		return fail(verb.ExitFailed, "")
	case v1.Outcome_OUTCOME_NOT_RUN:
		return fail(verb.ExitNotRun, "It did not run and never will; submit it under a new id if it is still wanted.")
	case v1.Outcome_OUTCOME_UNKNOWN:
		return fail(verb.ExitUnknown, "It may or may not have run to its end; find out before you submit it again.")
	}
	return fail(verb.ExitUnfinished, "Run the same command again, with a longer --timeout.")
}
