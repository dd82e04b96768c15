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

// Made is the result of a change.
type Made struct {
	Change   string `json:"change"`
	Revision uint64 `json:"revision"`
}

// Make sends one change and returns its id and the table's revision. When no
// answer came, the error tells how to ask again; rest are the further flags
// that then must be the same.
func (f Flags) Make(ctx context.Context, id ChangeID, req *v1.ChangeRequest, rest string) (Made, error) {
	req.Id = id.Change
	if req.Id == "" {
		req.Id = NewID()
	}
	client, ctx, cancel, err := f.Operator(ctx)
	if err != nil {
		return Made{}, err
	}
	defer cancel()
	revision, err := client.Change(ctx, req)
	if err == nil {
		return Made{Change: req.GetId(), Revision: revision}, nil
	}
	explained := Explain(err)
	var known *verb.Error
	if errors.As(explained, &known) && known.Exit == verb.Unreachable {
		known.Next = fmt.Sprintf("It may have been made. Run the same command again with --change %s%s: it is not made twice.", req.GetId(), rest)
	}
	var refusal *code.Error
	if errors.As(err, &refusal) && refusal.Code == code.RevisionConflict {
		known.Text += fmt.Sprintf("; the current revision is %d", revision)
	}
	return Made{Change: req.GetId(), Revision: revision}, explained
}

// Line returns a change as a person reads it.
func (m Made) Line(what string) verb.Grid {
	return verb.Grid{Rows: [][]string{{fmt.Sprintf("%s (change %s, revision %d)", what, m.Change, m.Revision)}}}
}
