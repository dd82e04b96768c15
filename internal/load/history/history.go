// Package history records the concurrent operations of clients with their replies and
// checks that the history is linearizable.
package history

import (
	"maps"
	"math"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"gypsumreel/internal/base/code"
)

// Recorder collects the operations of concurrent clients.
type Recorder struct {
	start time.Time
	mu    sync.Mutex
	ops   []porcupine.Operation
}

// NewRecorder returns an empty Recorder.
func NewRecorder() *Recorder { return &Recorder{start: time.Now()} }

// Record runs an operation of a client and records it with its reply. If the reply is
// not known, the operation may take effect at any later time or never; it is recorded
// as still running.
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

// Operations returns a copy of the recorded operations.
func (r *Recorder) Operations() []porcupine.Operation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]porcupine.Operation(nil), r.ops...)
}

// Linearizable reports whether some sequential order of the operations explains every
// reply. A check that exceeds the timeout counts as false.
func Linearizable(m porcupine.Model, ops []porcupine.Operation, timeout time.Duration) bool {
	return porcupine.CheckOperationsTimeout(m, ops, timeout) == porcupine.Ok
}

// TableChange sets the weight of the only team. It names the revision it is based on
// and carries a change id.
type TableChange struct {
	ID           string
	BaseRevision uint64
	Weight       uint32
}

// TableChangeReply is the reply to a TableChange.
type TableChangeReply struct {
	Code     code.Code
	Revision uint64
}

// TableRead reads the table.
type TableRead struct{}

// TableReadReply is the reply to a TableRead.
type TableReadReply struct {
	Revision uint64
	Weight   uint32
}

// tableState is the state of the model: the table with its one weight, and the reply
// given to each change id.
type tableState struct {
	current TableReadReply
	replies map[string]TableChangeReply
}

// TableModel returns the model of the operators' table. A change takes effect if its
// base is the current revision. Every later change with the same id gets the same
// reply.
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

// Submit submits content under a request id.
type Submit struct {
	ID      string
	Content string
}

// Wait waits for the answer to a request id.
type Wait struct{ ID string }

// WaitReply is the reply to a Wait: the content from which the answer was computed.
type WaitReply struct{ Content string }

// RequestModel returns the model of request ids. The first content submitted under an
// id is accepted, other content is refused, and a Wait returns the answer for the
// accepted content.
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

// partitionByID splits a history by request id. Operations on different ids are
// independent, which keeps the check fast.
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
