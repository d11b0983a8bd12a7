package place

import "time"

// MoveInterval is the time between two looks of a queued request at the other engines.
const MoveInterval = 40 * time.Millisecond

// MoveTimeout is how long another engine may take to grant a place to a request that is queued
// elsewhere. It is short, as the request keeps its place in the first queue meanwhile.
const MoveTimeout = 25 * time.Millisecond

// noRoomCost is the least cost of an engine without room. An engine with room costs at most 1.
const noRoomCost = 2.0

// Offer is what an entry knows of an engine that might run a request: the last State that the
// engine's manager sent, and this entry's own requests for places since.
//
// Each engine has a queue of its own, so in a burst, or after the loss of engines, a request
// may wait behind long runs at one engine while another has a place again and gives it to a
// request that came later. An entry therefore asks the engine that is expected to grant a
// place first, and while the request waits there it looks at the others: as soon as one of
// them has room, the request asks there too and leaves the first queue if it gets the place.
type Offer struct {
	State
	// Pending is the number of this entry's requests for a place that the state doesn't show.
	Pending int
}

// Cost orders offers for a request: first those with room, by the free part of their memory,
// then the others by the time until they have some. runTokens is what a run of the request's
// size typically holds at its end.
func (o Offer) Cost(promptTokens, runTokens int64) (cost float64, hasRoom bool) {
	room := o.MaxPromptTokens - int64(o.Pending)*runTokens
	if o.Waiting == 0 && room >= promptTokens {
		return 1 - float64(room)/float64(max(1, o.MemoryTokens)), true
	}
	queue := float64(o.Waiting+o.Pending) / float64(max(1, o.Slots))
	return noRoomCost + o.ExpectedWait.Seconds() + queue, false
}
