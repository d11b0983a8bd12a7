package place

import "slices"

const (
	// leastClassShare is the part of the granted work that a less urgent class gets while it waits, so that
	// it isn't starved.
	leastClassShare = 0.125
	// maxCreditRequests bounds the credit of a class, in typical requests, and so the burst that it can cause.
	maxCreditRequests = 2
	// promoteCredit is the credit, in typical requests, from which on a class goes first. At 1 it would get less
	// than its share over a few grants.
	promoteCredit = 0.5
	// maxClasses bounds the classes that may have credit.
	maxClasses = 32
)

// classes hold the credit, in tokens of work, of each class of priority. A negative priority is that of
// streams that go on after a break; they always come first and aren't counted.
//
// It answers a more urgent class that alone fills the engine for longer than the others can wait. A
// class that waits is credited with leastClassShare of what is granted meanwhile, and goes first once its
// credit is promoteCredit of a typical request.
type classes struct {
	credit map[int]float64
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
		if _, ok := c.credit[p]; !ok && len(c.credit) >= maxClasses {
			continue
		}
		c.credit[p] = min(c.credit[p]+leastClassShare*r.cost(), maxCreditRequests*c.typicalCost)
	}
	if r.Priority > waits[0] {
		c.spend(r)
	}
}

// spend takes the cost of a request from the credit of its class. The debt is bounded like the credit.
func (c *classes) spend(r Request) {
	if _, ok := c.credit[r.Priority]; !ok && len(c.credit) >= maxClasses {
		return
	}
	c.credit[r.Priority] = max(c.credit[r.Priority]-r.cost(), -maxCreditRequests*c.typicalCost)
}

// promote moves the first request of the class with the most credit to the head of a sorted queue. A late request may
// go first too: it takes the share of its own class, which would otherwise starve once its requests are late.
func (c *classes) promote(queue []waiting) {
	if len(queue) == 0 || queue[0].Priority < 0 {
		return
	}
	best, most := 0, 0.0
	for i := range queue {
		q := &queue[i]
		if credit := c.credit[q.Priority]; q.Priority > queue[0].Priority && credit >= promoteCredit*c.typicalCost && credit > most {
			best, most = i, credit
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
