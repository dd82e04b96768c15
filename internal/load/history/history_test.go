package history_test

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"gypsumreel/internal/base/code"
	"gypsumreel/internal/load/history"
)

const limit = 10 * time.Second

func op(client int, call, back int64, input, output any) porcupine.Operation {
	return porcupine.Operation{ClientId: client, Call: call, Return: back, Input: input, Output: output}
}

// Each wrong history is one that a cell with a certain fault would leave behind:
// the checker has to reject it, or it proves nothing of the real ones.
func TestTableHistories(t *testing.T) {
	first := history.TableReadReply{Revision: 1, Weight: 1}
	a, b := history.TableChange{ID: "a", BaseRevision: 1, Weight: 2}, history.TableChange{ID: "b", BaseRevision: 1, Weight: 3}
	won, lost := history.TableChangeReply{Code: code.OK, Revision: 2}, history.TableChangeReply{Code: code.RevisionConflict, Revision: 2}
	for name, c := range map[string]struct {
		ops []porcupine.Operation
		ok  bool
	}{
		"one wins":              {[]porcupine.Operation{op(0, 0, 5, a, won), op(1, 0, 5, b, lost), op(0, 6, 7, history.TableRead{}, history.TableReadReply{Revision: 2, Weight: 2})}, true},
		"a resend":              {[]porcupine.Operation{op(0, 0, 5, a, won), op(0, 6, 9, a, won), op(1, 10, 11, b, lost)}, true},
		"an unanswered change":  {[]porcupine.Operation{op(0, 0, 1<<40, a, nil), op(1, 5, 6, history.TableRead{}, history.TableReadReply{Revision: 2, Weight: 2})}, true},
		"both win":              {[]porcupine.Operation{op(0, 0, 5, a, won), op(1, 0, 5, b, won)}, false},
		"a resend is refused":   {[]porcupine.Operation{op(0, 0, 5, a, won), op(0, 6, 9, a, lost)}, false},
		"a stale read":          {[]porcupine.Operation{op(0, 0, 5, a, won), op(1, 6, 7, history.TableRead{}, first)}, false},
		"a change that reverts": {[]porcupine.Operation{op(0, 0, 5, a, won), op(1, 6, 7, history.TableRead{}, history.TableReadReply{Revision: 2, Weight: 2}), op(1, 8, 9, history.TableRead{}, first)}, false},
	} {
		if got := history.Linearizable(history.TableModel(first), c.ops, limit); got != c.ok {
			t.Errorf("%s: explained is %v", name, got)
		}
	}
}

func TestRequestHistories(t *testing.T) {
	x, y := history.Submit{ID: "i", Content: "x"}, history.Submit{ID: "i", Content: "y"}
	wait := history.Wait{ID: "i"}
	for name, c := range map[string]struct {
		ops []porcupine.Operation
		ok  bool
	}{
		"the first stands":         {[]porcupine.Operation{op(0, 0, 5, x, code.OK), op(1, 0, 5, y, code.IDReused), op(1, 6, 7, wait, history.WaitReply{Content: "x"})}, true},
		"both are accepted":        {[]porcupine.Operation{op(0, 0, 5, x, code.OK), op(1, 0, 5, y, code.OK)}, false},
		"the accepted one is lost": {[]porcupine.Operation{op(0, 0, 5, x, code.OK), op(1, 6, 9, y, code.OK)}, false},
		"another's answer":         {[]porcupine.Operation{op(0, 0, 5, x, code.OK), op(1, 6, 7, wait, history.WaitReply{Content: "y"})}, false},
	} {
		if got := history.Linearizable(history.RequestModel(), c.ops, limit); got != c.ok {
			t.Errorf("%s: explained is %v", name, got)
		}
	}
}
