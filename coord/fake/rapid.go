package fake

import (
	"flag"
	"os"
	"strconv"
)

// Environment variables that override the seed and the number of checks of randomised
// tests.
const (
	SeedVariable   = "CRANBERRYPOINT_TEST_SEED"
	ChecksVariable = "CRANBERRYPOINT_TEST_CHECKS"
)

// FixRuns parses the flags of a test program and sets those of package rapid: the seed and
// the number of checks, which SeedVariable and ChecksVariable override. TestMain calls it.
func FixRuns(seed, checks string) {
	flag.Parse()
	values := map[string]string{
		"rapid.seed":       firstNonEmpty(os.Getenv(SeedVariable), seed),
		"rapid.checks":     firstNonEmpty(os.Getenv(ChecksVariable), checks),
		"rapid.nofailfile": "true",
		"rapid.shrinktime": "5s",
	}
	for n, v := range values {
		if err := flag.Set(n, v); err != nil {
			panic(err)
		}
	}
}

// Checks returns the number of checks of a randomised test without package rapid: n, or what
// ChecksVariable says.
func Checks(n int) int {
	if c, err := strconv.Atoi(os.Getenv(ChecksVariable)); err == nil {
		return c
	}
	return n
}

func firstNonEmpty(a, b string) string {
	if a != "" {
		return a
	}
	return b
}
