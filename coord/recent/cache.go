package recent

import "time"

// Cache holds values by key for a time, or until there are too many: at least for its lifetime and at most for twice
// that, and at least the last max keys. It has two generations; the newer one takes the place of the older when it
// is full or its lifetime has passed. Use NewCache. The caller passes the time.
type Cache[K comparable, V any] struct {
	max          int
	life         time.Duration
	newer, older map[K]V
	// newerUntil is when the newer generation becomes the older one.
	newerUntil time.Time
}

// NewCache returns an empty cache.
func NewCache[K comparable, V any](max int, life time.Duration) *Cache[K, V] {
	return &Cache[K, V]{max: max, life: life, newer: map[K]V{}, older: map[K]V{}}
}

// Put sets the value of a key.
func (c *Cache[K, V]) Put(now time.Time, k K, v V) {
	if len(c.newer) >= c.max || !now.Before(c.newerUntil) {
		c.newer, c.older = map[K]V{}, c.newer
		c.newerUntil = now.Add(c.life)
	}
	c.newer[k] = v
}

// Get returns the value of a key; ok is false if it has none.
func (c *Cache[K, V]) Get(k K) (v V, ok bool) {
	if v, ok = c.newer[k]; ok {
		return v, true
	}
	v, ok = c.older[k]
	return v, ok
}
