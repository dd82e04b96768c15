package verb

import (
	"strings"

	v1 "gypsumreel/internal/api/v1"
)

// OutcomeName returns the printed name of an outcome, such as done or not-run. It
// returns none when the outcome is unspecified because the request was refused.
func OutcomeName(o v1.Outcome) string {
	if o == v1.Outcome_OUTCOME_UNSPECIFIED {
		return "none"
	}
	return enumName(o.String(), "OUTCOME_")
}

// KindName returns the printed name of a job kind, such as batch.
func KindName(k v1.Kind) string { return enumName(k.String(), "KIND_") }

func enumName(name, prefix string) string {
	return strings.ReplaceAll(strings.ToLower(strings.TrimPrefix(name, prefix)), "_", "-")
}
