// Package stand provides stand-ins of the systems that cranberrypoint meets: the
// platform's configuration service, model engines, plain services and the weight store.
// They speak HTTP, so that real processes meet them as they would meet the platform.
package stand

import (
	"cmp"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/feed"
	"cranberrypoint.example/coord/fleet"
	"cranberrypoint.example/coord/spread"
	"cranberrypoint.example/coord/tree"
	"github.com/gorilla/mux"
	"github.com/rotisserie/eris"
)

// Limits of the platform.
const (
	// MaxValue is the largest value in bytes.
	MaxValue = 1 << 20
	// maxPage bounds the values of one answer, in bytes.
	maxPage = 1 << 20
)

// Mode is a fault of the platform.
type Mode string

// Modes of the platform.
const (
	// Up answers at once.
	Up Mode = "up"
	// Down answers every read with an error.
	Down Mode = "down"
	// Stale answers from a copy made when the mode was set.
	Stale Mode = "stale"
	// Silent answers no read.
	Silent Mode = "silent"
	// Slow answers each read slowDelay later.
	Slow Mode = "slow"
)

// slowDelay is how much longer a read takes in the mode Slow.
const slowDelay = 700 * time.Millisecond

// Platform is the configuration service. Processes of the system only read it; the
// methods that write belong to operators and tests.
type Platform struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]feed.Item
	frozen   map[string]feed.Item
	frozenAt uint64
	mode     Mode
	reads    uint64
	listLag  time.Duration
	changed  chan struct{}
}

// NewPlatform returns an empty configuration service.
func NewPlatform() *Platform {
	return &Platform{items: map[string]feed.Item{}, mode: Up, changed: make(chan struct{})}
}

// SetListLag sets how long after a change of the list of VMs readers see it.
func (p *Platform) SetListLag(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listLag = d
}

// lag returns how much later a change of a key is made.
func (p *Platform) lag(key string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !strings.HasPrefix(key, spread.VMPrefix) {
		return 0
	}
	return p.listLag
}

// Put writes a value and returns its revision.
func (p *Platform) Put(key string, value []byte) (revision uint64, err error) {
	defer fault.Annotate(&err, "put %s", key)
	if len(value) > MaxValue {
		return 0, eris.Errorf("the value has %d bytes; at most %d would be right", len(value), MaxValue)
	}
	return p.write(feed.Item{Key: key, Value: string(value)}), nil
}

// Delete removes a value and returns the revision of the removal.
func (p *Platform) Delete(key string) uint64 {
	return p.write(feed.Item{Key: key, Deleted: true})
}

func (p *Platform) write(i feed.Item) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	i.Revision = p.revision
	i.Created = p.revision
	if old, ok := p.items[i.Key]; ok && (!old.Deleted || i.Deleted) {
		i.Created = old.Created
	}
	p.items[i.Key] = i
	close(p.changed)
	p.changed = make(chan struct{})
	return p.revision
}

// PutDoc writes all values of a settings document as one change.
func (p *Platform) PutDoc(b []byte) (err error) {
	defer fault.Annotate(&err, "put document")
	changes, err := tree.Split(b)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	for _, c := range changes {
		p.items[c.Key] = feed.Item{Key: c.Key, Value: string(c.Value), Revision: p.revision, Created: p.revision}
	}
	close(p.changed)
	p.changed = make(chan struct{})
	return nil
}

// PutVM writes an entry of the list of VMs.
func (p *Platform) PutVM(v fleet.VM) (err error) {
	defer fault.Annotate(&err, "put VM %s", v.Name)
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	_, err = p.Put(spread.VMPrefix+v.Name, b)
	return err
}

// SetMode sets the fault of the platform.
func (p *Platform) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	p.frozenAt = p.revision
	p.frozen = map[string]feed.Item{}
	for k, v := range p.items {
		p.frozen[k] = v
	}
}

// Revision returns the revision of the newest change.
func (p *Platform) Revision() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.revision
}

// Reads returns how many calls the platform has had, a waiting watch counted as one.
func (p *Platform) Reads() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

// Handler returns the HTTP interface: /v1/changes for readers, /control for operators
// and tests.
func (p *Platform) Handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/v1/changes", p.changes).Methods(http.MethodGet)
	m.HandleFunc("/control/mode/{mode}", func(_ http.ResponseWriter, q *http.Request) {
		p.SetMode(Mode(mux.Vars(q)["mode"]))
	}).Methods(http.MethodPost)
	m.HandleFunc("/control/list-lag/{lag}", func(w http.ResponseWriter, q *http.Request) {
		d, err := time.ParseDuration(mux.Vars(q)["lag"])
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.SetListLag(d)
	}).Methods(http.MethodPost)
	m.HandleFunc("/control/revision", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(p.Revision())
	}).Methods(http.MethodGet)
	m.HandleFunc("/control/reads", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(p.Reads())
	}).Methods(http.MethodGet)
	m.HandleFunc("/control/doc", func(w http.ResponseWriter, q *http.Request) {
		b, err := io.ReadAll(q.Body)
		if err == nil {
			err = p.PutDoc(b)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	}).Methods(http.MethodPut)
	m.HandleFunc("/control/kv/{key:.*}", p.control).Methods(http.MethodPut, http.MethodDelete)
	return m
}

func (p *Platform) control(w http.ResponseWriter, q *http.Request) {
	key := mux.Vars(q)["key"]
	if q.Method == http.MethodDelete {
		time.AfterFunc(p.lag(key), func() { p.Delete(key) })
		return
	}
	b, err := io.ReadAll(q.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if d := p.lag(key); d > 0 {
		time.AfterFunc(d, func() { _, _ = p.Put(key, b) })
		return
	}
	r, err := p.Put(key, b)
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	_ = json.NewEncoder(w).Encode(r)
}

func (p *Platform) changes(w http.ResponseWriter, q *http.Request) {
	after, err := strconv.ParseUint(q.FormValue("after"), 10, 64)
	if err != nil {
		http.Error(w, "after is not a revision", http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(q.FormValue("wait"))
	if err != nil {
		http.Error(w, "wait is not a duration", http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	p.reads++
	p.mu.Unlock()
	page, ok := p.await(q, after, time.Now().Add(wait))
	if !ok {
		http.Error(w, "the service is down", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(page)
}

// await returns what is newer than a revision, at once or when there is something.
func (p *Platform) await(q *http.Request, after uint64, until time.Time) (page feed.Page, ok bool) {
	for {
		p.mu.Lock()
		mode, changed := p.mode, p.changed
		page = p.page(after)
		p.mu.Unlock()
		if mode == Silent {
			<-q.Context().Done()
			return page, false
		}
		if mode == Down {
			return page, false
		}
		if mode == Slow {
			time.Sleep(slowDelay)
		}
		left := time.Until(until)
		if page.Revision > after || left <= 0 {
			return page, true
		}
		select {
		case <-changed:
		case <-time.After(left):
		case <-q.Context().Done():
			return page, true
		}
	}
}

// page returns the changes after a revision, at most maxPage bytes. The lock is held.
func (p *Platform) page(after uint64) feed.Page {
	items, revision := p.items, p.revision
	if p.mode == Stale {
		items, revision = p.frozen, p.frozenAt
	}
	page := feed.Page{Revision: revision, Items: []feed.Item{}}
	for _, i := range items {
		if i.Revision > after {
			page.Items = append(page.Items, i)
		}
	}
	slices.SortFunc(page.Items, func(a, b feed.Item) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Key, b.Key))
	})
	size := 0
	for n, i := range page.Items {
		size += len(i.Key) + len(i.Value)
		if size > maxPage && n > 0 && i.Revision > page.Items[n-1].Revision {
			page.Revision = page.Items[n-1].Revision
			page.Items = page.Items[:n]
			page.More = true
			break
		}
	}
	return page
}
