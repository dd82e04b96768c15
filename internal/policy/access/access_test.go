package access_test

import (
	"testing"

	"gypsumreel/internal/policy/access"
)

// Guards against a job that is unknown to its caller since its queue became open or asks for a key,
// and against one that is shown to another customer.
func TestFlowsAreFoundAfterTheirQueueHasChanged(t *testing.T) {
	const keyed, open, here, elsewhere = false, true, true, false
	for name, c := range map[string]struct {
		call     access.Call
		customer string
		want     bool
	}{
		"with its key":                           {access.Call{"a", keyed, here}, "a", true},
		"with its key at another queue":          {access.Call{"a", keyed, elsewhere}, "a", true},
		"with its key at an open queue":          {access.Call{"a", open, elsewhere}, "a", true},
		"with the key of another customer":       {access.Call{"b", keyed, here}, "a", false},
		"its queue became open":                  {access.Call{"", open, here}, "a", true},
		"its queue became open, another key":     {access.Call{"b", open, here}, "a", true},
		"without a key at another open queue":    {access.Call{"", open, elsewhere}, "a", false},
		"another key at another open queue":      {access.Call{"b", open, elsewhere}, "a", false},
		"without customer, without a key":        {access.Call{"", open, here}, "", true},
		"without customer, at another queue":     {access.Call{"", open, elsewhere}, "", true},
		"without customer, its queue asks a key": {access.Call{"a", keyed, here}, "", true},
		"without customer, at a keyed queue":     {access.Call{"a", keyed, elsewhere}, "", false},
		"without customer, with a key":           {access.Call{"a", open, here}, "", true},
	} {
		if got := c.call.Allows(c.customer); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}
