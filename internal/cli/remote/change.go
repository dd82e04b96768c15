package remote

import (
	"context"
	"errors"
	"fmt"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/cli/verb"
)

// ChangeID is the flag of every verb that changes the cell's state. It makes repeated
// requests idempotent.
type ChangeID struct {
	Change string `long:"change" description:"id of this change; a repeat with the same id after a lost answer is not applied twice"`
}

// ChangeResult is the result of a change: its id and the table revision.
type ChangeResult struct {
	Change   string `json:"change"`
	Revision uint64 `json:"revision"`
}

// SendChange sends one change and returns its id and the table revision. When no answer
// arrives, the advice of the error names --change and retryFlags, the flags with which
// the same command is idempotent.
func (f Flags) SendChange(ctx context.Context, id ChangeID, req *v1.ChangeRequest, retryFlags string) (ChangeResult, error) {
	req.Id = id.Change
	if req.Id == "" {
		req.Id = NewID()
	}
	client, ctx, cancel, err := f.OperatorClient(ctx)
	if err != nil {
		return ChangeResult{}, err
	}
	defer cancel()
	revision, err := client.Change(ctx, req)
	if err == nil {
		return ChangeResult{Change: req.GetId(), Revision: revision}, nil
	}
	userErr := UserError(err)
	var verbErr *verb.Error
	if errors.As(userErr, &verbErr) && verbErr.ExitCode == verb.ExitUnreachable {
		verbErr.Advice = fmt.Sprintf("The change may have been applied. Run the same command again with --change %s%s: it is not applied twice.", req.GetId(), retryFlags)
	}
	var refusal *code.Error
	if errors.As(err, &refusal) && refusal.Code == code.RevisionConflict {
		verbErr.Message += fmt.Sprintf("; the current revision is %d", revision)
	}
	return ChangeResult{Change: req.GetId(), Revision: revision}, userErr
}

// Describe returns the text output for the change: the summary, its id and the revision.
func (r ChangeResult) Describe(summary string) verb.TextTable {
	return verb.TextTable{Rows: [][]string{{fmt.Sprintf("%s (change %s, revision %d)", summary, r.Change, r.Revision)}}}
}
