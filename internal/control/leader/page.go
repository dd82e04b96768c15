package leader

import (
	"strings"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/ledger/state"
)

// Bounds of a list.
const (
	defaultLines = 100
	maxLines     = 1000
)

// page returns a team's jobs after the one named, in the order of acceptance. An
// empty owner stands for all teams, whose jobs are named TEAM/ID. A page after
// a job that is forgotten is refused: beginning anew would give the first page
// for ever.
func (l *Leader) page(owner, after string, limit uint32) ([]*v1.Summary, *code.Error) {
	if limit == 0 {
		limit = defaultLines
	}
	limit = min(limit, maxLines)
	var from uint64
	if after != "" {
		j, ok := l.st.FindJob(requestID(owner, after))
		if !ok {
			return nil, code.New(code.NotFound, "no job %s to list from; list anew", after)
		}
		from = j.Number
	}
	var out []*v1.Summary
	for _, j := range l.st.Jobs(owner) {
		if uint32(len(out)) == limit {
			break
		}
		if j.Number > from {
			out = append(out, summary(j))
		}
	}
	return out, nil
}

func requestID(owner, name string) state.RequestID {
	if owner != "" {
		return state.RequestID{Team: owner, ID: name}
	}
	of, id, _ := strings.Cut(name, "/")
	return state.RequestID{Team: of, ID: id}
}
