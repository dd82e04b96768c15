// Package seed sets a fixed default seed for property-based tests, so that every run
// gives the same result. Test packages import it for its side effect. The flag
// -rapid.seed overrides the default, and 0 selects a random seed.
package seed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag -rapid.seed
)

// defaultSeed is the seed of runs without -rapid.seed.
const defaultSeed = "1"

func init() {
	if err := flag.Set("rapid.seed", defaultSeed); err != nil {
		panic(err)
	}
}
