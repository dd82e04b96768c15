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
	start time.Time
	mu    sync.Mutex
	ops   []porcupine.Operation
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder { return &Recorder{start: time.Now()} }

// Record runs an operation of a client and records it with its answer. An answer
// that is not known may come true at any time after the call, also never: it
// is recorded as one that is still under way.
func (r *Recorder) Record(client int, input any, operation func() (output any, known bool)) {
	call := time.Since(r.start).Nanoseconds()
	output, known := operation()
	returned := time.Since(r.start).Nanoseconds()
	if !known {
		output, returned = nil, math.MaxInt64
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, porcupine.Operation{ClientId: client, Input: input, Call: call, Output: output, Return: returned})
}

// Operations returns what was recorded.
func (r *Recorder) Operations() []porcupine.Operation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]porcupine.Operation(nil), r.ops...)
}

// Linearizable tells whether an order of the operations explains every answer; a
// check that does not end within limit counts as none.
func Linearizable(m porcupine.Model, ops []porcupine.Operation, timeout time.Duration) bool {
	return porcupine.CheckOperationsTimeout(m, ops, timeout) == porcupine.Ok
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
	current TableReadReply
	replies map[string]TableChangeReply
}

// TableModel is the model of the operators' table: a change takes effect when its
// base is the current revision, and its id is answered alike ever after.
func TableModel(initial TableReadReply) porcupine.Model {
	return porcupine.Model{
		Init: func() any { return tableState{current: initial} },
		Step: func(state, input, output any) (bool, any) {
			s := state.(tableState)
			if _, ok := input.(TableRead); ok {
				return output == nil || output.(TableReadReply) == s.current, s
			}
			next, want := s.apply(input.(TableChange))
			return output == nil || output.(TableChangeReply) == want, next
		},
		Equal: func(a, b any) bool {
			x, y := a.(tableState), b.(tableState)
			return x.current == y.current && maps.Equal(x.replies, y.replies)
		},
	}
}

func (s tableState) apply(c TableChange) (tableState, TableChangeReply) {
	if reply, ok := s.replies[c.ID]; ok {
		return s, reply
	}
	reply := TableChangeReply{Code: code.RevisionConflict, Revision: s.current.Revision}
	if c.BaseRevision == s.current.Revision {
		s.current = TableReadReply{Revision: c.BaseRevision + 1, Weight: c.Weight}
		reply = TableChangeReply{Code: code.OK, Revision: s.current.Revision}
	}
	replies := maps.Clone(s.replies)
	if replies == nil {
		replies = map[string]TableChangeReply{}
	}
	replies[c.ID] = reply
	s.replies = replies
	return s, reply
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
		Partition: partitionByID,
		Init:      func() any { return "" },
		Step: func(state, input, output any) (bool, any) {
			accepted := state.(string)
			switch in := input.(type) {
			case Submit:
				return submitStep(accepted, in.Content, output)
			case Wait:
				return output == nil || accepted != "" && output.(WaitReply).Content == accepted, accepted
			}
			return false, accepted
		},
	}
}

func submitStep(accepted, content string, output any) (bool, any) {
	want := code.OK
	switch accepted {
	case "":
		accepted = content
	case content:
	default:
		want = code.IDReused
	}
	return output == nil || output.(code.Code) == want, accepted
}

// partitionByID splits a history by request id: ids have nothing to do with each other.
func partitionByID(ops []porcupine.Operation) [][]porcupine.Operation {
	index := map[string]int{}
	var partitions [][]porcupine.Operation
	for _, op := range ops {
		id := ""
		switch in := op.Input.(type) {
		case Submit:
			id = in.ID
		case Wait:
			id = in.ID
		}
		i, ok := index[id]
		if !ok {
			i = len(partitions)
			index[id], partitions = i, append(partitions, nil)
		}
		partitions[i] = append(partitions[i], op)
	}
	return partitions
}
