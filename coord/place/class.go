package place

import "slices"

const (
	// leastClassShare is the part of the granted work that a less urgent class keeps while it waits. It
	// starves none and costs the more urgent ones little; over a few grants a tenth of them is left.
	leastClassShare = 0.125
	// maxOwedRequests is how many typical requests a class is owed at most, so that none saves up for a
	// burst.
	maxOwedRequests = 2
	// maxClasses bounds the classes that may be owed work.
	maxClasses = 32
)

// classes hold the work, in tokens, that each class of priority is owed. A negative priority is that of
// streams that go on after a break; they always come first and aren't counted.
//
// It answers a more urgent class that alone fills the engine for longer than the others can wait. A
// class that waits is owed leastClassShare of what is granted meanwhile, and goes first once it is
// owed half of a typical request, so that it gets its share on average also over a few grants.
type classes struct {
	owed map[int]float64
	// typicalCost is the average cost of the requests.
	typicalCost float64
}

// observe learns the cost of a request that was submitted.
func (c *classes) observe(r Request) {
	if c.typicalCost == 0 {
		c.typicalCost = r.cost()
	}
	c.typicalCost += ewmaWeight * (r.cost() - c.typicalCost)
}

// charge records that a request was granted while the queue waited.
func (c *classes) charge(r Request, queue []waiting) {
	if r.Priority < 0 {
		return
	}
	waits := waitingClasses(append(slices.Clone(queue), waiting{Request: r}))
	for _, p := range waits[1:] {
		if _, ok := c.owed[p]; !ok && len(c.owed) >= maxClasses {
			continue
		}
		c.owed[p] = min(c.owed[p]+leastClassShare*r.cost(), maxOwedRequests*c.typicalCost)
	}
	if r.Priority > waits[0] {
		c.owed[r.Priority] -= r.cost()
	}
}

// promote moves the first request of the class that is owed most to the head of a sorted queue. A late request may
// go first too: it takes the share of its own class, which would otherwise starve once its requests are late.
func (c *classes) promote(queue []waiting) {
	if len(queue) == 0 || queue[0].Priority < 0 {
		return
	}
	best, most := 0, 0.0
	for i := range queue {
		q := &queue[i]
		if owed := c.owed[q.Priority]; q.Priority > queue[0].Priority && owed >= c.typicalCost/2 && owed > most {
			best, most = i, owed
		}
	}
	first := queue[best]
	copy(queue[1:best+1], queue[:best])
	queue[0] = first
}

// waitingClasses returns the priorities of a queue, the most urgent first, without negative ones.
func waitingClasses(queue []waiting) (l []int) {
	for i := range queue {
		if p := queue[i].Priority; p >= 0 && !slices.Contains(l, p) {
			l = append(l, p)
		}
	}
	slices.Sort(l)
	return l
}

// aheadOf returns the number of requests that are served before the one at an index of a sorted queue.
// Of other classes no more count than leave its class its least share.
func aheadOf(queue []waiting, index int) int {
	var others, own int
	for i := range queue[:index] {
		switch p := queue[i].Priority; {
		case p == queue[index].Priority:
			own++
		case p >= 0:
			others++
		}
	}
	streams := index - others - own
	return streams + own + min(others, int((1-leastClassShare)/leastClassShare*float64(own+1)))
}
