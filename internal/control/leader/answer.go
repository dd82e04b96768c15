package leader

import (
	"gypsumreel/internal/api/record"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/domain/answer"
	"gypsumreel/internal/ledger/state"
)

// maxHeads bounds the heads of answers that are kept.
const maxHeads = 4096

// answers is what the leader keeps of answers beside the ledger.
type answers struct {
	// heads are those of answers that are being fetched, by job. A final job's
	// answer never changes.
	heads map[uint64]answer.Head
	// sizes are the bytes that jobs under way have answered so far.
	sizes map[uint64]int
}

func newAnswers() answers {
	return answers{heads: map[uint64]answer.Head{}, sizes: map[uint64]int{}}
}

// chunk returns one chunk of a final job's answer; nil when there is none of
// that number. The checksum of the whole is taken once, not for every chunk.
func (l *Leader) chunk(j *state.Job, number uint32) *v1.Chunk {
	pieces := l.st.TaskAnswers(j)
	h, ok := l.lead.answers.heads[j.Number]
	if !ok {
		h = answer.NewHead(pieces)
		if len(l.lead.answers.heads) >= maxHeads {
			clear(l.lead.answers.heads)
		}
		if answer.Count(h.Total) > 1 {
			l.lead.answers.heads[j.Number] = h
		}
	}
	return h.Cut(pieces, number)
}

// fitting returns a task's answer, or none when its job's whole answer would
// exceed the bound. The job is then given up as too large: a longer answer
// could not be fetched whole, and part of one must not pass for all of it.
func (l *Leader) fitting(number uint64, data []byte) []byte {
	j, ok := l.st.Job(number)
	if !ok {
		return data
	}
	if j.Spec.Count <= answer.MaxJob/answer.MaxTotal {
		return data // no answers of so few tasks exceed it
	}
	size, ok := l.lead.answers.sizes[number]
	if !ok {
		for p := range l.st.TaskAnswers(j) {
			size += len(p)
		}
	}
	if size+len(data) > answer.MaxJob {
		l.do(&record.Command{What: &record.Command_Drop{Drop: &record.Drop{Job: number, Code: uint32(code.TooLarge)}}})
		return nil
	}
	l.lead.answers.sizes[number] = size + len(data)
	return data
}
