package evac

import "time"

const (
	// rampTime is how long an upstream that is taken back is left out of some choices. It is about
	// the time after which the load that upstreams report shows what all entries send them.
	rampTime = 2 * time.Second
	// firstShare is the part of the choices in which such an upstream takes part at first.
	firstShare = 0.1
)

// Share returns the part of the choices, up to 1, in which an upstream may take part whose data
// centre was taken back at a time.
//
// It answers a data centre that is taken back under load: its upstreams are idle, so all entries
// would choose them at once, before the load that they report shows it.
func Share(now, returnedAt time.Time) float64 {
	d := now.Sub(returnedAt)
	if d >= rampTime || d < 0 {
		return 1
	}
	return firstShare + (1-firstShare)*d.Seconds()/rampTime.Seconds()
}
