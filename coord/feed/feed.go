// Package feed runs the spread reducer of a process: it reads the platform over HTTP
// and exchanges digests with peers over drpc.
package feed

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/fleet"
	"cranberrypoint.example/coord/link"
	"cranberrypoint.example/coord/spread"
	"cranberrypoint.example/coord/tasks"
	"cranberrypoint.example/coord/tree"
	"cranberrypoint.example/coord/wire"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

const (
	tickPeriod  = 50 * time.Millisecond
	readTimeout = 3 * time.Second
	// maxAnswer bounds one answer of the platform, in bytes.
	maxAnswer = 4 << 20
)

// Item is one value in an answer of the platform.
type Item struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	// Created is the revision at which the key was made.
	Created uint64 `json:"created"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Page is an answer of the platform.
type Page struct {
	Revision uint64 `json:"revision"`
	Items    []Item `json:"items"`
	More     bool   `json:"more,omitempty"`
}

// Counts are what a feed has done since its start.
type Counts struct {
	Reads      atomic.Uint64
	ReadErrors atomic.Uint64
	Exchanges  atomic.Uint64
	Adopted    atomic.Uint64
	Rejected   atomic.Uint64
}

// Feed keeps a process's configuration. It implements the peer server.
type Feed struct {
	wire.DRPCPeerUnimplementedServer

	Counts   Counts
	platform string
	pool     *link.Pool
	log      logrus.FieldLogger
	adopt    func(*tree.Tree, *fleet.List)
	allow    func(spread.Authorization)
	client   *http.Client

	mu      sync.Mutex
	spread  *spread.Syncer
	answers map[uint64]chan *wire.Digest
	asks    uint64
	ctx     context.Context
	tasks   tasks.Group
}

// Identity names a process to its peers.
type Identity struct {
	VM          string
	DataCentre  string
	Incarnation uint64
}

// New starts a feed and returns it with a function that stops it. Adopt is called for
// each new tree or list, never twice at a time; allow, if not nil, for each change of the
// authority to hold shares.
func New(id Identity, platform string, seeds []string, p *link.Pool, l logrus.FieldLogger, adopt func(*tree.Tree, *fleet.List), allow func(spread.Authorization)) (f *Feed, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	f = &Feed{
		platform: platform,
		pool:     p,
		log:      l,
		adopt:    adopt,
		allow:    allow,
		client:   &http.Client{Timeout: readTimeout},
		spread:   spread.New(time.Now(), id.VM, id.DataCentre, id.Incarnation, seeds),
		answers:  map[uint64]chan *wire.Digest{},
		ctx:      ctx,
	}
	f.tasks.Go(f.tick)
	return f, func() {
		cancel()
		f.tasks.Close()
	}
}

func (f *Feed) tick() {
	t := time.NewTicker(tickPeriod)
	defer t.Stop()
	for {
		f.step(spread.Ticked{})
		select {
		case <-t.C:
		case <-f.ctx.Done():
			return
		}
	}
}

// HasSynced reports whether configuration is in force and peers were asked.
func (f *Feed) HasSynced() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.spread.HasSynced(time.Now())
}

// Revision returns the newest revision known.
func (f *Feed) Revision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.spread.Revision()
}

func (f *Feed) step(e spread.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ctx.Err() != nil {
		return
	}
	for _, x := range f.spread.Step(time.Now(), e) {
		f.run(x)
	}
}

// run carries out an effect. The lock is held.
func (f *Feed) run(x spread.Effect) {
	switch x := x.(type) {
	case spread.Read:
		f.Counts.Reads.Add(1)
		f.tasks.Go(func() { f.step(f.read(x)) })
	case spread.Exchange:
		f.Counts.Exchanges.Add(1)
		f.tasks.Go(func() { f.exchange(x) })
	case spread.AnswerExchange:
		f.answers[x.ExchangeID] <- x.Digest
		delete(f.answers, x.ExchangeID)
	case spread.Adopt:
		f.Counts.Adopted.Add(1)
		f.adopt(x.Tree, x.List)
	case spread.Authorization:
		if f.allow != nil {
			f.allow(x)
		}
	case spread.Reject:
		f.Counts.Rejected.Add(1)
		f.log.WithError(x.Err).Warn("settings refused; the last good ones stay in force")
	}
}

func (f *Feed) read(x spread.Read) (e spread.ReadAnswered) {
	p, err := f.page(x)
	if err != nil {
		f.Counts.ReadErrors.Add(1)
		return spread.ReadAnswered{Err: err}
	}
	e = spread.ReadAnswered{Revision: p.Revision, More: p.More}
	for _, i := range p.Items {
		e.Changes = append(e.Changes, &wire.Change{Key: i.Key, Value: []byte(i.Value), Revision: i.Revision, Created: i.Created, Deleted: i.Deleted})
	}
	return e
}

func (f *Feed) page(x spread.Read) (p Page, err error) {
	defer fault.Annotate(&err, "read the platform")
	wait := time.Duration(0)
	if x.Watch {
		wait = spread.WatchWait
	}
	u := fmt.Sprintf("%s/v1/changes?after=%d&wait=%s", f.platform, x.After, wait)
	q, err := http.NewRequestWithContext(f.ctx, http.MethodGet, u, nil)
	if err != nil {
		return Page{}, err
	}
	a, err := f.client.Do(q)
	if err != nil {
		return Page{}, err
	}
	defer func() { _ = a.Body.Close() }()
	if a.StatusCode != http.StatusOK {
		return Page{}, eris.Errorf("the platform answered %s", a.Status)
	}
	err = json.NewDecoder(http.MaxBytesReader(nil, a.Body, maxAnswer)).Decode(&p)
	return p, err
}

func (f *Feed) exchange(x spread.Exchange) {
	d, err := link.Call(f.ctx, f.pool, x.Address, link.Exchange, x.Digest)
	if err != nil {
		d = nil
	}
	f.step(spread.ExchangeAnswered{Address: x.Address, Digest: d, SentAt: x.SentAt})
}

// Exchange answers a peer.
func (f *Feed) Exchange(ctx context.Context, d *wire.Digest) (*wire.Digest, error) {
	c := make(chan *wire.Digest, 1)
	f.mu.Lock()
	f.asks++
	ask := f.asks
	f.answers[ask] = c
	f.mu.Unlock()
	f.step(spread.ExchangeRequested{ExchangeID: ask, Digest: d})
	select {
	case a := <-c:
		return a, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-f.ctx.Done():
		return nil, f.ctx.Err()
	}
}
