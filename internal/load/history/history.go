// Package history records what clients asked and were told, and checks that
// there is an order of the operations, one at a time, that explains every answer.
package history

import (
	"maps"
	"math"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"gypsumreel/internal/base/code"
)

// Recorder gathers the operations of many clients.
type Recorder struct {
	begin time.Time
	mu    sync.Mutex
	ops   []porcupine.Operation
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder { return &Recorder{begin: time.Now()} }

// Record runs an operation of a client and records it with its answer. An answer
// that is not known may come true at any time after the call, also never: it
// is recorded as one that is still under way.
func (r *Recorder) Record(client int, input any, run func() (output any, known bool)) {
	call := time.Since(r.begin).Nanoseconds()
	output, known := run()
	back := time.Since(r.begin).Nanoseconds()
	if !known {
		output, back = nil, math.MaxInt64
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, porcupine.Operation{ClientId: client, Input: input, Call: call, Output: output, Return: back})
}

// Operations returns what was recorded.
func (r *Recorder) Operations() []porcupine.Operation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]porcupine.Operation(nil), r.ops...)
}

// Linearizable tells whether an order of the operations explains every answer; a
// check that does not end within limit counts as none.
func Linearizable(m porcupine.Model, ops []porcupine.Operation, limit time.Duration) bool {
	return porcupine.CheckOperationsTimeout(m, ops, limit) == porcupine.Ok
}

// TableChange asks for a weight of the one team from a base revision, under a change id.
type TableChange struct {
	ID           string
	BaseRevision uint64
	Weight       uint32
}

// TableChangeReply is the answer to a Change.
type TableChangeReply struct {
	Code     code.Code
	Revision uint64
}

// TableRead reads the table.
type TableRead struct{}

// TableReadReply is the answer to a Look.
type TableReadReply struct {
	Revision uint64
	Weight   uint32
}

// tableState is a table of one weight, with the answers already given.
type tableState struct {
	now     TableReadReply
	answers map[string]TableChangeReply
}

// TableModel is the model of the operators' table: a change takes effect when its
// base is the current revision, and its id is answered alike ever after.
func TableModel(first TableReadReply) porcupine.Model {
	return porcupine.Model{
		Init: func() any { return tableState{now: first} },
		Step: func(state, input, output any) (bool, any) {
			s := state.(tableState)
			if _, ok := input.(TableRead); ok {
				return output == nil || output.(TableReadReply) == s.now, s
			}
			next, want := s.change(input.(TableChange))
			return output == nil || output.(TableChangeReply) == want, next
		},
		Equal: func(a, b any) bool {
			x, y := a.(tableState), b.(tableState)
			return x.now == y.now && maps.Equal(x.answers, y.answers)
		},
	}
}

func (s tableState) change(c TableChange) (tableState, TableChangeReply) {
	if a, ok := s.answers[c.ID]; ok {
		return s, a
	}
	a := TableChangeReply{Code: code.RevisionConflict, Revision: s.now.Revision}
	if c.BaseRevision == s.now.Revision {
		s.now = TableReadReply{Revision: c.BaseRevision + 1, Weight: c.Weight}
		a = TableChangeReply{Code: code.OK, Revision: s.now.Revision}
	}
	answers := maps.Clone(s.answers)
	if answers == nil {
		answers = map[string]TableChangeReply{}
	}
	answers[c.ID] = a
	s.answers = answers
	return s, a
}

// Submit hands in content under a request id.
type Submit struct {
	ID      string
	Content string
}

// Wait asks for the outcome of a request id.
type Wait struct{ ID string }

// WaitReply is what a Wait gives: the content whose answer it is.
type WaitReply struct{ Content string }

// RequestModel is the model of request ids: the first content of an id stands, other
// content is refused, and the answer is that of the content which stands.
func RequestModel() porcupine.Model {
	return porcupine.Model{
		Partition: byID,
		Init:      func() any { return "" },
		Step: func(state, input, output any) (bool, any) {
			stands := state.(string)
			switch in := input.(type) {
			case Submit:
				return submit(stands, in.Content, output)
			case Wait:
				return output == nil || stands != "" && output.(WaitReply).Content == stands, stands
			}
			return false, stands
		},
	}
}

func submit(stands, content string, output any) (bool, any) {
	want := code.OK
	switch stands {
	case "":
		stands = content
	case content:
	default:
		want = code.IDReused
	}
	return output == nil || output.(code.Code) == want, stands
}

// byID splits a history by request id: ids have nothing to do with each other.
func byID(ops []porcupine.Operation) [][]porcupine.Operation {
	at := map[string]int{}
	var out [][]porcupine.Operation
	for _, op := range ops {
		id := ""
		switch in := op.Input.(type) {
		case Submit:
			id = in.ID
		case Wait:
			id = in.ID
		}
		i, ok := at[id]
		if !ok {
			i = len(out)
			at[id], out = i, append(out, nil)
		}
		out[i] = append(out[i], op)
	}
	return out
}
