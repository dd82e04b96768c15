package main

import (
	"gypsumreel/internal/cli/check"
	"gypsumreel/internal/cli/verb"
)

// verbs lists the verbs in the order of the help text.
func verbs() []verb.Verb {
	return []verb.Verb{
		check.New(),
	}
}
