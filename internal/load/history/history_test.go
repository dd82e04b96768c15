package history_test

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"gypsumreel/internal/base/code"
	"gypsumreel/internal/load/history"
)

const checkTimeout = 10 * time.Second

func operation(client int, call, returned int64, input, output any) porcupine.Operation {
	return porcupine.Operation{ClientId: client, Call: call, Return: returned, Input: input, Output: output}
}

// Guards against a model that accepts wrong histories: each rejected history is one
// that a cell with a certain fault would produce, such as a stale read.
func TestTableModelAcceptsOnlyLinearizableHistories(t *testing.T) {
	initial := history.TableReadReply{Revision: 1, Weight: 1}
	a, b := history.TableChange{ID: "a", BaseRevision: 1, Weight: 2}, history.TableChange{ID: "b", BaseRevision: 1, Weight: 3}
	applied, conflict := history.TableChangeReply{Code: code.OK, Revision: 2}, history.TableChangeReply{Code: code.RevisionConflict, Revision: 2}
	for name, c := range map[string]struct {
		ops []porcupine.Operation
		ok  bool
	}{
		"one of two changes is applied": {[]porcupine.Operation{operation(0, 0, 5, a, applied), operation(1, 0, 5, b, conflict), operation(0, 6, 7, history.TableRead{}, history.TableReadReply{Revision: 2, Weight: 2})}, true},
		"a resend":                      {[]porcupine.Operation{operation(0, 0, 5, a, applied), operation(0, 6, 9, a, applied), operation(1, 10, 11, b, conflict)}, true},
		"an unanswered change":          {[]porcupine.Operation{operation(0, 0, 1<<40, a, nil), operation(1, 5, 6, history.TableRead{}, history.TableReadReply{Revision: 2, Weight: 2})}, true},
		"both changes are applied":      {[]porcupine.Operation{operation(0, 0, 5, a, applied), operation(1, 0, 5, b, applied)}, false},
		"a resend is refused":           {[]porcupine.Operation{operation(0, 0, 5, a, applied), operation(0, 6, 9, a, conflict)}, false},
		"a stale read":                  {[]porcupine.Operation{operation(0, 0, 5, a, applied), operation(1, 6, 7, history.TableRead{}, initial)}, false},
		"a change that reverts":         {[]porcupine.Operation{operation(0, 0, 5, a, applied), operation(1, 6, 7, history.TableRead{}, history.TableReadReply{Revision: 2, Weight: 2}), operation(1, 8, 9, history.TableRead{}, initial)}, false},
	} {
		if got := history.Linearizable(history.TableModel(initial), c.ops, checkTimeout); got != c.ok {
			t.Errorf("%s: Linearizable = %v, want %v", name, got, c.ok)
		}
	}
}

// Guards against a model that accepts wrong histories, such as one in which two different
// contents are accepted under the same request id.
func TestRequestModelAcceptsOnlyLinearizableHistories(t *testing.T) {
	x, y := history.Submit{ID: "i", Content: "x"}, history.Submit{ID: "i", Content: "y"}
	wait := history.Wait{ID: "i"}
	for name, c := range map[string]struct {
		ops []porcupine.Operation
		ok  bool
	}{
		"the first content is accepted": {[]porcupine.Operation{operation(0, 0, 5, x, code.OK), operation(1, 0, 5, y, code.IDReused), operation(1, 6, 7, wait, history.WaitReply{Content: "x"})}, true},
		"both are accepted":             {[]porcupine.Operation{operation(0, 0, 5, x, code.OK), operation(1, 0, 5, y, code.OK)}, false},
		"the accepted one is lost":      {[]porcupine.Operation{operation(0, 0, 5, x, code.OK), operation(1, 6, 9, y, code.OK)}, false},
		"the answer for other content":  {[]porcupine.Operation{operation(0, 0, 5, x, code.OK), operation(1, 6, 7, wait, history.WaitReply{Content: "y"})}, false},
	} {
		if got := history.Linearizable(history.RequestModel(), c.ops, checkTimeout); got != c.ok {
			t.Errorf("%s: Linearizable = %v, want %v", name, got, c.ok)
		}
	}
}
