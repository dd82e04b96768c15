package leader

import (
	"strings"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/ledger/state"
)

// Bounds of a list.
const (
	defaultPageSize = 100
	maxPageSize     = 1000
)

// listJobs returns a team's jobs after the one named, in the order of acceptance. An
// empty owner stands for all teams, whose jobs are named TEAM/ID. A page after
// a job that is forgotten is refused: beginning anew would give the first page
// for ever.
func (l *Leader) listJobs(teamName, after string, limit uint32) ([]*v1.Summary, *code.Error) {
	if limit == 0 {
		limit = defaultPageSize
	}
	limit = min(limit, maxPageSize)
	var afterNumber uint64
	if after != "" {
		j, ok := l.ledger.Find(requestID(teamName, after))
		if !ok {
			return nil, code.New(code.Unknown, "no job %s to list from; list anew", after)
		}
		afterNumber = j.Number
	}
	var out []*v1.Summary
	for _, j := range l.ledger.Jobs(teamName) {
		if uint32(len(out)) == limit {
			break
		}
		if j.Number > afterNumber {
			out = append(out, jobSummary(j))
		}
	}
	return out, nil
}

func requestID(teamName, name string) state.RequestID {
	if teamName != "" {
		return state.RequestID{Team: teamName, ID: name}
	}
	prefix, id, _ := strings.Cut(name, "/")
	return state.RequestID{Team: prefix, ID: id}
}
