// Package origin remembers where streams began, so that they go on only at the version that began them.
//
// It answers callers who take up a stream that has broken off, at any entry, while upstreams of several software
// versions serve side by side. What two versions write doesn't fit together, and no upstream checks that. The
// break may have been the end of the very entry that began the stream, so each stream is noted at a few other members of the
// mesh too, which rank first for its request by rendezvous hashing: agents and entries in turn, since all entries may end at
// once. A note is soft state: it is sent once, isn't
// repaired, and is dropped after some minutes. If no note is found, a stream goes on only if its service has had a
// single version for as long as the stream may have lasted, which only a member can say that has seen all versions
// for so long; otherwise it is refused.
//
// Table and History are safe for concurrent use and do no I/O; the caller passes the time.
package origin

import (
	"maps"
	"slices"
	"sync"
	"time"

	"cranberrypoint.example/coord/rank"
	"cranberrypoint.example/coord/recent"
	"cranberrypoint.example/coord/wire"
)

const (
	// Holders is the number of members besides the entry itself that note where a stream began.
	Holders = 3
	// Asked is the number of members that are asked. Members that have come or gone since the stream began
	// change the ranks of others.
	Asked = 2 * Holders
	// noteTime is how long a note is kept at least: longer than a caller goes on with a stream.
	noteTime = 10 * time.Minute
	// maxNotes bounds the notes of noteTime.
	maxNotes = 8192
)

// Unknown is the version of a stream whose upstream may have had one or another one when it began.
const Unknown = "(unknown)"

// Origin is where a stream began.
type Origin struct {
	Service string
	// Version is that of the upstream's software.
	Version string
}

// Table holds where streams began, by the request that began them. Use NewTable.
type Table struct {
	mu    sync.Mutex
	notes *recent.Cache[string, Origin]
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{notes: recent.NewCache[string, Origin](maxNotes, noteTime)} }

// Note records where the stream of a request began.
func (t *Table) Note(now time.Time, request string, o Origin) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.notes.Put(now, request, o)
}

// Find returns where the stream of a request began; ok is false if that isn't known.
func (t *Table) Find(request string) (o Origin, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.notes.Get(request)
}

// HandleNote records a note that another member has sent.
func (t *Table) HandleNote(now time.Time, m *wire.StreamOrigin) {
	if m.Request != "" && m.Version != "" {
		t.Note(now, m.Request, Origin{m.Service, m.Version})
	}
}

// HandleFind returns the answer to another member, with what the history holds of versions.
func (t *Table) HandleFind(now time.Time, q *wire.FindOriginRequest, h *History) *wire.FindOriginReply {
	r := &wire.FindOriginReply{
		Seen:           h.Since(now.Add(-time.Duration(q.WithinMicros)*time.Microsecond), q.Service),
		ObservedMicros: h.Observed(now).Microseconds(),
	}
	if o, ok := t.Find(q.Request); ok {
		r.Origin = &wire.StreamOrigin{Request: q.Request, Service: o.Service, Version: o.Version}
	}
	return r
}

// Rank returns the members that note a request, in the order in which they are sent the note or asked for it. The kinds of
// members, which may fail together, take turns, so that two kinds hold notes wherever there are two.
func Rank(request string, kinds ...[]*wire.Member) (l []*wire.Member) {
	ranked := make([][]*wire.Member, len(kinds))
	for i, k := range kinds {
		ranked[i] = rankKind(request, k)
	}
	for n := 0; len(l) < Asked; n++ {
		hasMore := false
		for _, k := range ranked {
			if n < len(k) {
				l, hasMore = append(l, k[n]), true
			}
		}
		if !hasMore {
			return l
		}
	}
	return l[:Asked]
}

// rankKind ranks members by rendezvous hashing.
func rankKind(request string, members []*wire.Member) (l []*wire.Member) {
	byName := map[string]*wire.Member{}
	for _, m := range members {
		byName[m.Name] = m
	}
	for _, n := range rank.Top(request, slices.Collect(maps.Keys(byName)), Asked) {
		l = append(l, byName[n])
	}
	return l
}
