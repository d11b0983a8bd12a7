package pacer

import (
	"slices"

	"cranberrypoint.example/coord/rank"
)

// processesPerRate is the number of processes that share a limit for each request a second of it.
const processesPerRate = 2

// NoShare is the Share of a process that only passes on what upstreams say.
func NoShare(string, float64) float64 { return 0 }

// EqualShare returns the part of an upstream's limit that a process may use: an equal one of all
// processes, or, if these are too many for the limit, of those that rank first for the upstream. The others
// may use nothing, since the buckets of all together would exceed a low limit.
//
// known is the number of processes, this one included, that may be sending, whether they are live or not;
// live are the names of those that are, with self.
func EqualShare(instance string, perSecond float64, self string, live []string, known int) float64 {
	most := max(1, int(processesPerRate*perSecond))
	if known <= most {
		return 1 / float64(max(1, known))
	}
	if !slices.Contains(rank.Top(instance, live, most), self) {
		return 0
	}
	return 1 / float64(most)
}
