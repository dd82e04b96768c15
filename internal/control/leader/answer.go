package leader

import (
	"gypsumreel/internal/api/record"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/domain/answer"
	"gypsumreel/internal/ledger/state"
)

// maxCachedHeads bounds the heads of answers that are kept.
const maxCachedHeads = 4096

// answerState is what the leader keeps of answers beside the ledger.
type answerState struct {
	// headsByJob are those of answers that are being fetched, by job. A final job's
	// answer never changes.
	headsByJob map[uint64]answer.Head
	// partialSizes are the bytes that jobs under way have answered so far.
	partialSizes map[uint64]int
}

func newAnswerState() answerState {
	return answerState{headsByJob: map[uint64]answer.Head{}, partialSizes: map[uint64]int{}}
}

// answerChunk returns one chunk of a final job's answer; nil when there is none of
// that number. The checksum of the whole is taken once, not for every chunk.
func (l *Leader) answerChunk(j *state.Job, number uint32) *v1.Chunk {
	pieces := l.ledger.Pieces(j)
	h, ok := l.leadership.answerCache.headsByJob[j.Number]
	if !ok {
		h = answer.NewHead(pieces)
		if len(l.leadership.answerCache.headsByJob) >= maxCachedHeads {
			clear(l.leadership.answerCache.headsByJob)
		}
		if answer.Count(h.Total) > 1 {
			l.leadership.answerCache.headsByJob[j.Number] = h
		}
	}
	return h.Cut(pieces, number)
}

// withinAnswerLimit returns a task's answer, or none when its job's whole answer would
// exceed the bound. The job is then given up as too large: a longer answer
// could not be fetched whole, and part of one must not pass for all of it.
func (l *Leader) withinAnswerLimit(jobNumber uint64, data []byte) []byte {
	j, ok := l.ledger.Job(jobNumber)
	if !ok {
		return data
	}
	if j.Spec.Count <= answer.MaxJob/answer.MaxTotal {
		return data // no answers of so few tasks exceed it
	}
	size, ok := l.leadership.answerCache.partialSizes[jobNumber]
	if !ok {
		for p := range l.ledger.Pieces(j) {
			size += len(p)
		}
	}
	if size+len(data) > answer.MaxJob {
		l.applyAndQueue(&record.Command{What: &record.Command_Drop{Drop: &record.Drop{Job: jobNumber, Code: uint32(code.TooLarge)}}})
		return nil
	}
	l.leadership.answerCache.partialSizes[jobNumber] = size + len(data)
	return data
}
