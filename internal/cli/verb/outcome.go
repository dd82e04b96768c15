package verb

import (
	"strings"

	v1 "gypsumreel/internal/api/v1"
)

// OutcomeName returns an outcome as people and scripts read it: done, not-run.
// none stands for an outcome that is not known, since the request was refused.
func OutcomeName(o v1.Outcome) string {
	if o == v1.Outcome_OUTCOME_UNSPECIFIED {
		return "none"
	}
	return plain(o.String(), "OUTCOME_")
}

// KindName returns a kind of job in lower case.
func KindName(k v1.Kind) string { return plain(k.String(), "KIND_") }

func plain(name, prefix string) string {
	return strings.ReplaceAll(strings.ToLower(strings.TrimPrefix(name, prefix)), "_", "-")
}
