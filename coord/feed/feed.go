// Package feed keeps the configuration of a process up to date. It runs the reducer of
// package spread, which decides what to do, and does the I/O: it reads the platform (the
// configuration service) over HTTP and exchanges digests with peers, the other processes
// that run the reducer, over drpc. A digest tells which revision of the configuration a
// process has, and carries the changes that its receiver lacks.
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
	"cranberrypoint.example/coord/rumor"
	"cranberrypoint.example/coord/spread"
	"cranberrypoint.example/coord/tasks"
	"cranberrypoint.example/coord/tree"
	"cranberrypoint.example/coord/wire"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

const (
	// tickPeriod is the time between two Ticked events of the reducer.
	tickPeriod = 50 * time.Millisecond
	// readTimeout bounds one read of the platform. For a watch, a read that the platform
	// holds until there is a change, it includes that wait.
	readTimeout = 3 * time.Second
	// maxPageBytes bounds the body of one response of the platform.
	maxPageBytes = 4 << 20
)

// Item is the newest change of one key in a response of the platform.
type Item struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	// Created is the revision at which the key was created.
	Created uint64 `json:"created"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Page is the platform's response to a read: the changes after the revision that was
// asked for, up to Revision.
type Page struct {
	Revision uint64 `json:"revision"`
	Items    []Item `json:"items"`
	// More is true when there are changes after Revision that did not fit.
	More bool `json:"more,omitempty"`
}

// Counts holds the counters of a feed since its start. Collectors exports them.
type Counts struct {
	// Reads counts the reads of the platform, ReadErrors those that failed.
	Reads      atomic.Uint64
	ReadErrors atomic.Uint64
	// Exchanges counts the digests that this process sent to peers on its own initiative.
	// Its answers to exchanges that peers began are not counted.
	Exchanges atomic.Uint64
	// Adopted counts the configurations that were put in force, Rejected those whose
	// settings were refused as invalid.
	Adopted  atomic.Uint64
	Rejected atomic.Uint64
}

// Feed keeps the configuration of a process up to date. It implements the drpc service
// Peer, by which other processes exchange digests with it. Use New.
type Feed struct {
	wire.DRPCPeerUnimplementedServer

	Counts          Counts
	platform        string
	pool            *link.Pool
	log             logrus.FieldLogger
	onAdopt         func(*tree.Tree, *fleet.List)
	onAuthorization func(spread.Authorization)
	client          *http.Client
	// rumors go with each digest.
	rumors rumor.Rumors

	mu sync.Mutex
	// syncer is the reducer.
	syncer *spread.Syncer
	// replies holds a channel for each exchange that a peer requested, by exchange ID.
	replies        map[uint64]chan *wire.Digest
	lastExchangeID uint64
	ctx            context.Context
	tasks          tasks.Group
}

// Identity identifies a process to its peers.
type Identity struct {
	// VM is the name of the machine that the process runs on.
	VM         string
	DataCentre string
	// Incarnation is larger at each start of the process.
	Incarnation uint64
}

// Option configures a Feed.
type Option func(*Feed)

// WithRumors sets what processes learn from each other besides the configuration. Without it, a feed only passes on
// what it hears.
func WithRumors(r rumor.Rumors) Option { return func(f *Feed) { f.rumors = r } }

// New starts a feed and returns it with a function that stops it. Platform is the base
// URL of the platform, seeds are the addresses of peers to exchange with before the list
// of VMs is known.
//
// The feed calls onAdopt with the configuration in force, which consists of the settings
// and the list of VMs, whenever it has received a newer one. If the newer settings are
// invalid, onAdopt gets the last valid ones. The feed calls onAuthorization, unless it is
// nil, whenever the permission that this VM has to act on the list of VMs changes. A VM
// needs it to hold part of a workspace's rate limit; see spread.Authorization. Both are
// called with the feed's mutex locked: one call at a time, and they must not call the feed.
func New(id Identity, platform string, seeds []string, p *link.Pool, l logrus.FieldLogger, onAdopt func(*tree.Tree, *fleet.List), onAuthorization func(spread.Authorization), opts ...Option) (f *Feed, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	f = &Feed{
		platform:        platform,
		pool:            p,
		log:             l,
		onAdopt:         onAdopt,
		onAuthorization: onAuthorization,
		client:          &http.Client{Timeout: readTimeout},
		syncer:          spread.New(time.Now(), id.VM, id.DataCentre, id.Incarnation, seeds),
		replies:         map[uint64]chan *wire.Digest{},
		ctx:             ctx,
		rumors:          rumor.New(),
	}
	for _, o := range opts {
		o(f)
	}
	f.tasks.Go(f.runTicker)
	return f, func() {
		cancel()
		f.tasks.Close()
	}
}

// runTicker sends the reducer a Ticked event at once and then every tickPeriod, until the
// feed is stopped.
func (f *Feed) runTicker() {
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

// HasSynced reports whether the process has settings, and either enough peers have answered
// its first exchanges or the time limit for that has passed. See spread.Syncer.HasSynced.
func (f *Feed) HasSynced() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.syncer.HasSynced(time.Now())
}

// Revision returns the revision up to which the process has received all changes of the
// configuration. The settings in force are older if those of this revision are invalid.
func (f *Feed) Revision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.syncer.Revision()
}

// step applies an event to the reducer and executes the resulting effects. It does
// nothing once the feed is stopped.
func (f *Feed) step(e spread.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ctx.Err() != nil {
		return
	}
	for _, x := range f.syncer.Step(time.Now(), e) {
		f.execute(x)
	}
}

// execute executes an effect; reads and exchanges run in goroutines. The caller must
// hold f.mu.
func (f *Feed) execute(x spread.Effect) {
	switch x := x.(type) {
	case spread.Read:
		f.Counts.Reads.Add(1)
		f.tasks.Go(func() { f.step(f.readPlatform(x)) })
	case spread.Exchange:
		f.Counts.Exchanges.Add(1)
		f.tasks.Go(func() { f.exchange(x) })
	case spread.AnswerExchange:
		f.replies[x.ExchangeID] <- x.Digest
		delete(f.replies, x.ExchangeID)
	case spread.Adopt:
		f.Counts.Adopted.Add(1)
		f.onAdopt(x.Tree, x.List)
	case spread.Authorization:
		if f.onAuthorization != nil {
			f.onAuthorization(x)
		}
	case spread.Reject:
		f.Counts.Rejected.Add(1)
		f.log.WithError(x.Err).Warn("settings refused; the last good ones stay in force")
	}
}

// readPlatform returns the event that reports the outcome of a read.
func (f *Feed) readPlatform(x spread.Read) (e spread.ReadAnswered) {
	p, err := f.fetchPage(x)
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

// fetchPage reads one page of changes from the platform. A watch asks the platform to hold
// the request until there is a change or spread.WatchWait is over.
func (f *Feed) fetchPage(x spread.Read) (p Page, err error) {
	defer fault.Annotate(&err, "read changes from the platform")
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
		return Page{}, eris.Errorf("the platform answered with HTTP status %s", a.Status)
	}
	err = json.NewDecoder(http.MaxBytesReader(nil, a.Body, maxPageBytes)).Decode(&p)
	return p, err
}

// exchange sends a digest to a peer and passes the answer to the reducer, a nil digest
// if the call failed.
func (f *Feed) exchange(x spread.Exchange) {
	x.Digest.Rumors = f.rumors.Report(time.Now())
	d, err := link.Call(f.ctx, f.pool, x.Address, link.Exchange, x.Digest)
	if err != nil {
		d = nil
	}
	f.merge(d)
	f.step(spread.ExchangeAnswered{Address: x.Address, Digest: d, SentAt: x.SentAt})
}

// merge adds the rumors in a peer's digest.
func (f *Feed) merge(d *wire.Digest) {
	if r := d.GetRumors(); r != nil {
		f.rumors.Merge(time.Now(), r)
	}
}

// Exchange implements the RPC of that name: it takes a peer's digest and returns the
// digest that answers it. It fails only if ctx ends or the feed is stopped.
func (f *Feed) Exchange(ctx context.Context, d *wire.Digest) (*wire.Digest, error) {
	c := make(chan *wire.Digest, 1)
	f.mu.Lock()
	f.lastExchangeID++
	id := f.lastExchangeID
	f.replies[id] = c
	f.mu.Unlock()
	f.merge(d)
	f.step(spread.ExchangeRequested{ExchangeID: id, Digest: d})
	select {
	case a := <-c:
		a.Rumors = f.rumors.Reply(time.Now(), d.Rumors)
		return a, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-f.ctx.Done():
		return nil, f.ctx.Err()
	}
}
