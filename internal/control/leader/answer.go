package leader

import (
	"gypsumreel/internal/api/record"
	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/domain/answer"
	"gypsumreel/internal/ledger/state"
)

// maxCachedHeads limits the number of cached answer heads.
const maxCachedHeads = 4096

// answerState is data about job answers that the leader keeps outside the ledger.
type answerState struct {
	// headsByJob caches the heads of answers that are being fetched, by job number. The
	// answer of an ended job never changes.
	headsByJob map[uint64]answer.Header
	// partialSizes are the sizes in bytes of the answers that unfinished jobs have
	// returned so far, by job number.
	partialSizes map[uint64]int
}

func newAnswerState() answerState {
	return answerState{headsByJob: map[uint64]answer.Header{}, partialSizes: map[uint64]int{}}
}

// answerChunk returns one chunk of an ended job's answer, or nil when there is no
// chunk of that number. The checksum of the whole answer is computed once and
// cached, not repeated for every chunk.
func (l *Leader) answerChunk(j *state.Job, number uint32) *v1.Chunk {
	pieces := l.ledger.TaskAnswers(j)
	h, ok := l.leadership.answerCache.headsByJob[j.Number]
	if !ok {
		h = answer.NewHeader(pieces)
		if len(l.leadership.answerCache.headsByJob) >= maxCachedHeads {
			clear(l.leadership.answerCache.headsByJob)
		}
		if answer.ChunkCount(h.Total) > 1 {
			l.leadership.answerCache.headsByJob[j.Number] = h
		}
	}
	return h.ChunkAt(pieces, number)
}

// withinAnswerLimit returns a task's answer, or nil when it would make the job's
// whole answer exceed answer.MaxJob. In that case the job is dropped with the code
// TooLarge, because a caller could not fetch the whole answer and must not take a
// part of it for the whole.
func (l *Leader) withinAnswerLimit(jobNumber uint64, data []byte) []byte {
	j, ok := l.ledger.Job(jobNumber)
	if !ok {
		return data
	}
	if j.Spec.Count <= answer.MaxJobAnswer/answer.MaxTaskAnswer {
		return data // so few tasks cannot exceed the limit
	}
	size, ok := l.leadership.answerCache.partialSizes[jobNumber]
	if !ok {
		for p := range l.ledger.TaskAnswers(j) {
			size += len(p)
		}
	}
	if size+len(data) > answer.MaxJobAnswer {
		l.applyAndQueue(&record.Command{What: &record.Command_Drop{Drop: &record.Drop{Job: jobNumber, Code: uint32(code.TooLarge)}}})
		return nil
	}
	l.leadership.answerCache.partialSizes[jobNumber] = size + len(data)
	return data
}
