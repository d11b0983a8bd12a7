package fake

import (
	"flag"
	"os"
)

// Environment variables that change the randomised runs.
const (
	SeedVariable   = "CRANBERRYPOINT_TEST_SEED"
	ChecksVariable = "CRANBERRYPOINT_TEST_CHECKS"
)

// FixRuns parses the flags of a test program and fixes the seed and the number of its
// randomised runs, which the environment may change. TestMain calls it.
func FixRuns(seed, checks string) {
	flag.Parse()
	values := map[string]string{
		"rapid.seed":       or(os.Getenv(SeedVariable), seed),
		"rapid.checks":     or(os.Getenv(ChecksVariable), checks),
		"rapid.nofailfile": "true",
		"rapid.shrinktime": "5s",
	}
	for n, v := range values {
		if err := flag.Set(n, v); err != nil {
			panic(err)
		}
	}
}

func or(a, b string) string {
	if a != "" {
		return a
	}
	return b
}
