package stand

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// CacheEvent says that a prefix block came into the cache or left it.
type CacheEvent struct {
	Serial uint64 `json:"serial"`
	Block  uint64 `json:"block"`
	Gone   bool   `json:"gone,omitempty"`
}

const (
	// eventLag is how late cache events are published.
	eventLag = 500 * time.Millisecond
	// eventLoss is the part of cache events that are never published.
	eventLoss = 0.05
	// maxEvents bounds the events that are kept.
	maxEvents = 10000
	// bytesPerToken is the average size of a token of text.
	bytesPerToken = 4
)

type lateEvent struct {
	CacheEvent
	due time.Time
}

// cache is an engine's prefix cache in blocks of tokens.
type cache struct {
	blocks map[uint64]bool
	order  []uint64
	limit  int
	block  int64
	serial uint64
	events []lateEvent
	rand   *rand.Rand
}

func newCache(limit int, block int64) *cache {
	return &cache{blocks: map[uint64]bool{}, limit: limit, block: block, rand: rand.New(rand.NewPCG(1, 1))}
}

// use returns the tokens of a prompt that the cache holds, and adds the prompt.
func (c *cache) use(now time.Time, prompt string) int64 {
	size := int(c.block) * bytesPerToken
	hit, known := int64(0), true
	for end := size; end <= len(prompt); end += size {
		h := xxhash.Sum64String(prompt[:end])
		known = known && c.blocks[h]
		if known {
			hit += c.block
			continue
		}
		c.add(now, h)
	}
	return hit
}

func (c *cache) add(now time.Time, h uint64) {
	if c.blocks[h] {
		return
	}
	c.blocks[h] = true
	c.order = append(c.order, h)
	c.publish(now, h, false)
	if len(c.order) > c.limit {
		c.publish(now, c.order[0], true)
		delete(c.blocks, c.order[0])
		c.order = c.order[1:]
	}
}

// publish makes an event known later, or never.
func (c *cache) publish(now time.Time, h uint64, gone bool) {
	c.serial++
	if c.rand.Float64() < eventLoss {
		return
	}
	c.events = append(c.events, lateEvent{CacheEvent{c.serial, h, gone}, now.Add(eventLag)})
	if len(c.events) > maxEvents {
		c.events = c.events[1:]
	}
}

// published returns the events after a serial that are due.
func (c *cache) published(now time.Time, after uint64) []CacheEvent {
	r := []CacheEvent{}
	for _, e := range c.events {
		if e.Serial > after && !now.Before(e.due) {
			r = append(r, e.CacheEvent)
		}
	}
	return r
}

// cacheEvents answers GET /v1/events?after=SERIAL.
func (e *Engine) cacheEvents(w http.ResponseWriter, q *http.Request) {
	after, err := strconv.ParseUint(q.FormValue("after"), 10, 64)
	if err != nil {
		http.Error(w, "after is not a number", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	r := e.cache.published(time.Now(), after)
	e.mu.Unlock()
	reply(w, r)
}
