package leader

import (
	"strings"

	v1 "gypsumreel/internal/api/v1"
	"gypsumreel/internal/base/code"
	"gypsumreel/internal/ledger/state"
)

// Page sizes of job lists, in jobs.
const (
	defaultPageSize = 100
	maxPageSize     = 1000
)

// listJobs returns one page of a team's jobs in the order of acceptance, starting
// after the job that the parameter after names. If teamName is empty, it lists the
// jobs of all teams, which are named TEAM/ID. It refuses the request when the job
// named by after is unknown. A list that started from the beginning instead would
// return the first page again and again.
func (l *Leader) listJobs(teamName, after string, limit uint32) ([]*v1.Summary, *code.Error) {
	if limit == 0 {
		limit = defaultPageSize
	}
	limit = min(limit, maxPageSize)
	var afterNumber uint64
	if after != "" {
		j, ok := l.ledger.FindJob(requestID(teamName, after))
		if !ok {
			return nil, code.New(code.NotFound, "job %s is no longer known; list from the beginning", after)
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
