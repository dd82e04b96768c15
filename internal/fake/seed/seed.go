// Package seed fixes the seed of random tests, so that every run gives the same
// verdict. A test package imports it for its effect; -rapid.seed on the command
// line still counts, and 0 draws a new one.
package seed

import (
	"flag"

	_ "pgregory.net/rapid" // defines the flag before it is set here
)

// defaultSeed is the seed of every run that names none.
const defaultSeed = "1"

func init() {
	if err := flag.Set("rapid.seed", defaultSeed); err != nil {
		panic(err)
	}
}
