// Package wait implements the verb that waits for a job and prints its answer.
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

// answerFilePerms are the permissions of an answer file.
const answerFilePerms = 0o600

// New returns the verb.
func New() verb.Verb {
	return verb.Verb{
		Name: "wait", Short: "wait for a job's outcome and answer",
		Long: "Waits for the outcome of the job with the given ID and prints its complete answer or nothing. " +
			"Exit code 0: done; 1: done, but failed or stopped; 4: not run; 5: unknown; 7: not finished within --timeout.",
		Runner: &command{},
	}
}

type command struct {
	remote.Flags
	verb.OutputFlag
	AnswerFile string `long:"out" description:"file for the answer instead of standard output"`
}

// Run waits for the job named by args.
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

// waitResult is the result printed with --json.
type waitResult struct {
	ID      string `json:"id"`
	Outcome string `json:"outcome"`
	Code    uint32 `json:"code"`
	Text    string `json:"text"`
	// Data is the answer of the job, encoded as base64 in JSON.
	Data []byte `json:"data,omitempty"`
}

// PrintAnswer waits for a job and writes its answer to file, or to standard output when
// file is empty. It returns an Error unless the job is done with code OK.
func PrintAnswer(ctx context.Context, env verb.Env, client *caller.Client, id string, output verb.OutputFlag, file string) error {
	result, err := client.Wait(ctx, id)
	if err != nil {
		return remote.UserError(err)
	}
	if err := writeAnswer(env, result, output, file); err != nil {
		return err
	}
	return outcomeError(result)
}

func writeAnswer(env verb.Env, result caller.Result, output verb.OutputFlag, file string) error {
	if file != "" && result.Outcome == v1.Outcome_OUTCOME_DONE {
		if err := os.WriteFile(file, result.Data, answerFilePerms); err != nil {
			return verb.UsageError("Check --out, then run `gypsumreel wait` with the same id.", "%v", err)
		}
		result.Data = nil
	}
	if output.JSON {
		return output.Print(env.Out, waitResult{ID: result.ID, Outcome: verb.OutcomeName(result.Outcome), Code: uint32(result.Code), Text: result.Code.String(), Data: result.Data}, verb.TextTable{})
	}
	_, err := env.Out.Write(result.Data)
	return err
}

// outcomeError returns an Error with the exit code for the outcome of a job, or nil when
// the job succeeded.
func outcomeError(result caller.Result) error {
	newError := func(exitCode verb.ExitCode, advice string) error {
		return &verb.Error{ExitCode: exitCode, Message: fmt.Sprintf("job %s: %s: %d: %s", result.ID, verb.OutcomeName(result.Outcome), uint32(result.Code), result.Code), Advice: advice}
	}
	switch result.Outcome {
	case v1.Outcome_OUTCOME_DONE:
		if result.Code == code.OK {
			return nil
		}
		return newError(verb.ExitFailed, "")
	case v1.Outcome_OUTCOME_NOT_RUN:
		return newError(verb.ExitNotRun, "The job did not run and never will; submit it under a new id if it is still wanted.")
	case v1.Outcome_OUTCOME_UNKNOWN:
		return newError(verb.ExitUnknown, "The job may or may not have run to its end; find out before you submit it again.")
	}
	return newError(verb.ExitUnfinished, "The job has not finished. Run the same command again, with a longer --timeout.")
}
