// Package cost estimates how much work a request is, and how slow the upstreams are that do it.
//
// It answers calls of one service that look alike and cost five-fold and more different work, sent to
// upstreams on shared VMs that are several times slower for half a second, now this one, now that one.
// Numbers of requests in flight tell neither.
//
// The work of a request is the time that it takes on an upstream at usual speed without a queue. A Table
// learns it from answers, Speeds holds how slow upstreams are at a moment. Both are deterministic: they do
// no I/O, and the caller passes the time. They are not safe for concurrent use.
package cost

import (
	"container/list"
	"math"
	"time"
)

const (
	// maxSamples bounds the number of answers that a mean counts, so that it follows changes.
	maxSamples = 200
	// priorSamples is the weight, in answers, of the next wider level in an estimate.
	priorSamples = 8.0
	// defaultWork is assumed before any answer was seen.
	defaultWork = 20 * time.Millisecond
	// maxKeys bounds the routes and workspaces of which the work is kept; the longest unused goes first.
	maxKeys = 16_384
)

// Key is what the work of a request is learned by, from wide to narrow.
type Key struct{ Service, Route, Workspace string }

// Estimate is the expected work of a request.
type Estimate struct {
	Work time.Duration
	// Error is the standard deviation of one request's work about Work. It is as large as Work if no
	// answer was seen.
	Error time.Duration
	// Samples is the number of answers behind the estimate, of the narrowest level that has any.
	Samples int
}

// moments are the mean and variance of the work of some answers, in seconds.
type moments struct {
	n, mean, variance float64
}

// add counts an answer.
func (m *moments) add(x float64) {
	m.n = min(maxSamples, m.n+1)
	d := x - m.mean
	m.mean += d / m.n
	m.variance += (d*(x-m.mean) - m.variance) / m.n
}

// within shrinks m towards the moments of the next wider level.
func (m *moments) within(wide moments) moments {
	w := m.n / (m.n + priorSamples)
	d := m.mean - wide.mean
	return moments{
		n:        m.n,
		mean:     w*m.mean + (1-w)*wide.mean,
		variance: w*m.variance + (1-w)*wide.variance + w*(1-w)*d*d,
	}
}

// leaf is the work of a route and workspace.
type leaf struct {
	key Key
	moments
}

// Table learns the work of requests by service, route and workspace. Use NewTable.
type Table struct {
	services map[string]*moments
	routes   map[Key]*moments
	leaves   map[Key]*list.Element
	// used orders the leaves, the last used first.
	used *list.List
}

// NewTable returns a table without answers.
func NewTable() *Table {
	return &Table{services: map[string]*moments{}, routes: map[Key]*moments{}, leaves: map[Key]*list.Element{}, used: list.New()}
}

// Observe records the work of a request that was answered.
func (t *Table) Observe(k Key, work time.Duration) {
	if work <= 0 {
		return
	}
	x := work.Seconds()
	at(t.services, k.Service).add(x)
	if len(t.routes) >= maxKeys {
		// Nearly all are of former configurations.
		clear(t.routes)
	}
	at(t.routes, Key{k.Service, k.Route, ""}).add(x)
	t.leaf(k).add(x)
}

// at returns the moments of a key, new ones if there are none.
func at[K comparable](m map[K]*moments, k K) *moments {
	if m[k] == nil {
		m[k] = &moments{}
	}
	return m[k]
}

// leaf returns the leaf of a key as the last used one. It drops the longest unused if there are too many.
func (t *Table) leaf(k Key) *leaf {
	if e := t.leaves[k]; e != nil {
		t.used.MoveToFront(e)
		return e.Value.(*leaf)
	}
	if t.used.Len() >= maxKeys {
		delete(t.leaves, t.used.Remove(t.used.Back()).(*leaf).key)
	}
	l := &leaf{key: k}
	t.leaves[k] = t.used.PushFront(l)
	return l
}

// Expect estimates the work of a request.
func (t *Table) Expect(k Key) Estimate {
	s := t.services[k.Service]
	if s == nil {
		return Estimate{Work: defaultWork, Error: defaultWork}
	}
	d := defaultWork.Seconds()
	m := s.within(moments{mean: d, variance: d * d})
	if r := t.routes[Key{k.Service, k.Route, ""}]; r != nil {
		m = r.within(m)
	}
	if e := t.leaves[k]; e != nil {
		t.used.MoveToFront(e)
		m = e.Value.(*leaf).within(m)
	}
	return Estimate{
		Work:    seconds(m.mean),
		Error:   seconds(math.Sqrt(m.variance)),
		Samples: int(m.n),
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// WorkOf returns the work of a request that took some time on an upstream with a slowness, while as many
// requests waited there for each of its slots.
func WorkOf(took time.Duration, slowness, waitingPerSlot float64) time.Duration {
	return time.Duration(float64(took) / (max(slowness, minSlowness) * (1 + max(0, waitingPerSlot))))
}
