package remote

import (
	"context"
	"errors"
	"fmt"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/cli/verb"
)

// ChangeID is the flag of every verb that changes something.
type ChangeID struct {
	Change string `long:"change" description:"id of this change; run again with the same id after a lost answer and it is not made twice"`
}

// ChangeResult is the result of a change.
type ChangeResult struct {
	Change   string `json:"change"`
	Revision uint64 `json:"revision"`
}

// SendChange sends one change and returns its id and the table's revision. When no
// answer came, the error tells how to ask again; rest are the further flags
// that then must be the same.
func (f Flags) SendChange(ctx context.Context, id ChangeID, req *v1.ChangeRequest, rest string) (ChangeResult, error) {
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
	explained := UserError(err)
	var known *verb.Error
	if errors.As(explained, &known) && known.ExitCode == verb.ExitUnreachable {
		known.Advice = fmt.Sprintf("It may have been made. Run the same command again with --change %s%s: it is not made twice.", req.GetId(), rest)
	}
	var refusal *code.Error
	if errors.As(err, &refusal) && refusal.Code == code.RevisionConflict {
		known.Message += fmt.Sprintf("; the current revision is %d", revision)
	}
	return ChangeResult{Change: req.GetId(), Revision: revision}, explained
}

// Describe returns a change as a person reads it.
func (m ChangeResult) Describe(what string) verb.TextTable {
	return verb.TextTable{Rows: [][]string{{fmt.Sprintf("%s (change %s, revision %d)", what, m.Change, m.Revision)}}}
}
