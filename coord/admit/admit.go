// Package admit manages one model engine on behalf of the entries, the processes that admit
// callers' requests. The engine receives its requests from the entries themselves.
//
// A run is the engine's execution of one request. An entry reserves a place for it at the
// engine's manager, and sends the request to the engine once the place is granted. A place is
// a slot in the engine's batch together with the KV cache memory that the run needs.
//
// The manager polls the engine for a report of its stage and memory, streams the engine's free
// capacity to the entries, and decides with the managers of the service's other engines whether
// the engine serves prefill or decode. It runs in the agent beside the engine, or, for an engine
// that has no agent, in one of the entries.
package admit

import (
	"context"
	"sync"
	"time"

	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/pacer"
	"cranberrypoint.example/coord/pause"
	"cranberrypoint.example/coord/place"
	"cranberrypoint.example/coord/stages"
	"cranberrypoint.example/coord/tasks"
	"cranberrypoint.example/coord/upconn"
	"cranberrypoint.example/coord/wire"
	"github.com/sirupsen/logrus"
)

const (
	// pollInterval is the time between two polls of the report of an engine on the same VM.
	pollInterval = 50 * time.Millisecond
	// remotePollInterval is the same for an engine on another VM. There a poll occupies the
	// engine and the network.
	remotePollInterval = time.Second
	// callTimeout bounds a poll of the report and the delivery of an order.
	callTimeout = 500 * time.Millisecond
	// reportTTL is the age of the last report from which on an engine on the same VM is
	// unhealthy.
	reportTTL = time.Second
	// remoteReportTTL is the same for an engine on another VM. It allows for one lost poll.
	remoteReportTTL = 2*remotePollInterval + callTimeout
	// remoteReportLag is the age of what an engine reports to other VMs, when it arrives.
	remoteReportLag = 900 * time.Millisecond
	// admitInterval is the time between two passes over the requests that wait for a place.
	admitInterval = 20 * time.Millisecond
	// maxStateInterval is the interval at which the state is sent to a follower, an entry with
	// an open Follow stream, also without a change.
	maxStateInterval = 400 * time.Millisecond
	// minStateInterval is the pause between a change and the sending of the state, so that
	// changes in quick succession are sent together.
	minStateInterval = 10 * time.Millisecond
	// stageInterval is the time between two decisions on the engine's stage.
	stageInterval = 500 * time.Millisecond
	// maxResponseBytes bounds what is read of the body of an engine's response.
	maxResponseBytes = 128 << 10
)

// Settings configures a Manager.
type Settings struct {
	// VM is where the manager runs. It names the holder of the engine in orders.
	VM string
	// Name is the engine's name among the Peers.
	Name string
	// Upstream is the address of the engine.
	Upstream string
	// Instance is the instance that orders are meant for; empty for any at the address.
	Instance string
	// StartedAt is when the process of the manager started.
	StartedAt time.Time
	Codec     calls.EngineCodec
	Conns     *upconn.Pool
	Metrics   *Metrics
	Log       logrus.FieldLogger
	// Peers returns the other engines of the service whose managers take part in the decision
	// on stages.
	Peers func() []stages.Peer
	// Observe is called with what each answer of the engine says of it, and when its request was sent, if
	// not nil.
	Observe func(i calls.ResponseInfo, sentAt time.Time)
	// MayCall reports whether the engine may be called now; nil for always. The pauses that the
	// engine asks the manager itself for are kept in any case.
	MayCall func() bool
	// MayOrder reports whether the engine may be given orders now; nil for always.
	MayOrder func() bool
	// Fence returns a fencing token that is greater than those of earlier holders. Tokens grow
	// with each call.
	Fence func() int64
}

// Manager manages one engine. Use Start.
type Manager struct {
	settings     Settings
	log          logrus.FieldLogger
	ctx          context.Context
	tasks        tasks.Group
	pollInterval time.Duration
	reportTTL    time.Duration
	// ordersFrom is the time before which the manager gives no orders.
	ordersFrom time.Time
	// queued receives a value when a request begins to wait.
	queued chan struct{}

	mu     sync.Mutex
	ledger *place.Scheduler
	stages *stages.Balancer
	// waiters receive the outcome of their place request, by request id.
	waiters map[string]chan place.Outcome
	// backlog is the length, in tokens, of the prompts that are being prefilled or queued
	// for it.
	backlog int64
	// localPrefill limits the prompts that the engine prefills while it serves decode.
	localPrefill place.PrefillLimiter
	// report is the last one received, and reportedAt when it arrived. reportedAt is zero if
	// there is none or the engine has refused connections since.
	report     calls.EngineReport
	reportedAt time.Time
	// leaving is true once the engine, in its present start, has said that it leaves.
	leaving bool
	// pauses holds the pause that the engine has asked this manager for.
	pauses *pause.Table
	// limits holds the limit that the engine names to this manager, and polledAt is when it was last polled.
	limits   *pacer.Table
	polledAt time.Time
	// slownessPercent is the slowness that the engine named at slownessAt.
	slownessPercent int
	slownessAt      time.Time
	// orderedStage is the stage of the last order that the engine accepted.
	orderedStage wire.Stage
	// stateChanged is closed and replaced at each change that followers are sent at once. Other
	// changes, such as of the engine's memory or a return to health, reach them with the next
	// state.
	stateChanged chan struct{}
	// cachedState is the state since the last change; nil if it has to be computed again.
	cachedState *wire.PlaceState
}

// Option configures a Manager.
type Option func(*Manager)

// WithRemoteEngine is for an engine on another VM: it is polled seldom, and its reports lag.
func WithRemoteEngine() Option {
	return func(m *Manager) {
		m.pollInterval, m.reportTTL = remotePollInterval, remoteReportTTL
		m.ledger = place.New(place.WithReportLag(remoteReportLag))
	}
}

// WithOrdersFrom sets the time before which the manager gives no orders, since another holder
// may still do so.
func WithOrdersFrom(t time.Time) Option { return func(m *Manager) { m.ordersFrom = t } }

// Start runs a manager and returns a function that stops it.
func Start(s Settings, opts ...Option) (m *Manager, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	m = &Manager{
		settings:     s,
		log:          s.Log,
		ctx:          ctx,
		pollInterval: pollInterval,
		reportTTL:    reportTTL,
		queued:       make(chan struct{}, 1),
		ledger:       place.New(),
		stages:       stages.New(s.StartedAt, s.Name),
		waiters:      map[string]chan place.Outcome{},
		pauses:       pause.New(),
		limits:       pacer.New(pacer.NoShare),
		stateChanged: make(chan struct{}),
	}
	for _, o := range opts {
		o(m)
	}
	m.tasks.Go(func() { m.runEvery(m.pollInterval, m.pollEngine) })
	m.tasks.Go(func() { m.runEvery(stageInterval, m.decideStage) })
	m.tasks.Go(m.admitQueued)
	return m, func() {
		cancel()
		m.tasks.Close()
	}
}

// Status returns whether the engine is healthy, and the number of runs that have a place.
func (m *Manager) Status() (healthy bool, running int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.healthy(time.Now()), m.ledger.Running()
}

// AnnouncedStage returns the stage that the managers of other engines should count this engine
// for, or unknown if it isn't healthy. While the engine changes its stage, that is the new one:
// managers that saw the old stage would order their engines to change too.
func (m *Manager) AnnouncedStage() wire.Stage {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case !m.healthy(time.Now()):
		return wire.Stage_STAGE_UNKNOWN
	case m.report.Busy && m.orderedStage != wire.Stage_STAGE_UNKNOWN:
		return m.orderedStage
	}
	return m.report.Stage
}

// runEvery calls f at once and then periodically until the manager stops.
func (m *Manager) runEvery(d time.Duration, f func()) {
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		f()
		select {
		case <-t.C:
		case <-m.ctx.Done():
			return
		}
	}
}

// admitQueued runs admitWaiting periodically while requests wait.
func (m *Manager) admitQueued() {
	t := time.NewTicker(admitInterval)
	defer t.Stop()
	for {
		select {
		case <-m.queued:
		case <-m.ctx.Done():
			return
		}
		t.Reset(admitInterval)
		for m.admitWaiting() {
			select {
			case <-t.C:
			case <-m.ctx.Done():
				return
			}
		}
		t.Stop()
	}
}

// admitWaiting admits the waiting requests that fit by now and refuses the expired ones. It
// reports whether others go on waiting.
func (m *Manager) admitWaiting() (waiting bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.deliver(m.ledger.Tick(time.Now()))
	return len(m.waiters) > 0
}

// healthy reports whether the last report is young enough. The caller holds the lock.
func (m *Manager) healthy(now time.Time) bool {
	ttl := m.reportTTL
	if m.limits.IsLimited(now, m.settings.Name) {
		ttl = max(ttl, remoteReportTTL)
	}
	return now.Sub(m.reportedAt) < ttl
}

// deliver sends outcomes to the waiters of their requests. The caller holds the lock.
func (m *Manager) deliver(out []place.Outcome) {
	for _, o := range out {
		if c := m.waiters[o.RequestID]; c != nil {
			c <- o
			delete(m.waiters, o.RequestID)
		}
	}
	if len(out) > 0 {
		m.notifyFollowers()
	}
}

// notifyFollowers drops the cached state and wakes the followers. The caller holds the lock.
func (m *Manager) notifyFollowers() {
	m.cachedState = nil
	close(m.stateChanged)
	m.stateChanged = make(chan struct{})
}

// state returns the state that followers receive. It is computed once per change and shared
// by all followers. The caller holds the lock.
func (m *Manager) state() *wire.PlaceState {
	now := time.Now()
	available := m.healthy(now) && !m.report.Busy
	slowness := m.currentSlowness(now)
	if m.cachedState != nil && m.cachedState.Sound == available && m.cachedState.SlownessPercent == slowness {
		return m.cachedState
	}
	s := m.ledger.State(now)
	m.cachedState = &wire.PlaceState{
		Stage:       m.report.Stage,
		Sound:       available,
		Running:     int32(s.Running),
		Waiting:     int32(s.Waiting),
		Room:        s.MaxPromptTokens,
		AgainMicros: s.ExpectedWait.Microseconds(),
		Backlog:     m.backlog,
		Memory:      s.MemoryTokens,
		Slots:       int32(s.Slots),
		Leaving:     m.leaving,

		SlownessPercent: slowness,
	}
	return m.cachedState
}

// slownessMaxAge is how long followers are told a slowness that the engine has named; it changes often.
const slownessMaxAge = 150 * time.Millisecond

// currentSlowness returns the slowness in percent that the engine has just named; 0 if it named none. The caller holds
// the lock.
func (m *Manager) currentSlowness(now time.Time) int32 {
	if now.Sub(m.slownessAt) > slownessMaxAge {
		return 0
	}
	return int32(m.slownessPercent)
}
