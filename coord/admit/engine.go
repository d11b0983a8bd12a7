package admit

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/stages"
	"cranberrypoint.example/coord/upconn"
	"cranberrypoint.example/coord/wire"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

// pollEngine fetches the engine's report and updates the agent's state from it.
func (m *Manager) pollEngine() {
	if !m.isPollDue() {
		return
	}
	r, err := m.fetchReport()
	m.settings.Metrics.polls.WithLabelValues(boolLabel(err == nil)).Inc()
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	wasHealthy := m.healthy(now)
	if err != nil {
		m.handlePollError(wasHealthy, err)
		return
	}
	if !wasHealthy {
		m.log.WithFields(logrus.Fields{"event": "engine-sound", "stage": r.Stage.String(), "memory": r.Usage.MemoryTokens}).Info("engine is healthy")
	}
	if r.Usage.StartUnixMillis != m.report.Usage.StartUnixMillis && m.leaving {
		m.leaving = false
		m.notifyFollowers()
	}
	if r.Stage != m.report.Stage {
		m.log.WithFields(logrus.Fields{"event": "stage-changed", "from": m.report.Stage.String(), "to": r.Stage.String()}).Info("engine changed its stage")
		m.notifyFollowers()
	}
	m.report = r
	m.reportedAt = now
	m.cachedState = nil
	m.deliver(m.ledger.Observe(now, r.Usage))
}

// isPollDue reports whether the engine should be polled now. While it advertises a limit, polls are as seldom as
// those of an engine on another VM.
func (m *Manager) isPollDue() bool {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.limits.IsLimited(now, m.settings.Name) && now.Sub(m.polledAt) < remotePollInterval {
		return false
	}
	m.polledAt = now
	return true
}

// handlePollError marks the engine as unhealthy at once if the poll couldn't be sent, as when
// the engine refuses connections. After any other failure, such as a timeout of an overloaded
// engine, it stays healthy until its last report is older than reportTTL. The caller holds
// the lock.
func (m *Manager) handlePollError(wasHealthy bool, err error) {
	var sendErr *upconn.Error
	if errors.As(err, &sendErr) && !sendErr.Sent && !errors.Is(err, context.DeadlineExceeded) {
		m.reportedAt = time.Time{}
	}
	if wasHealthy && !m.healthy(time.Now()) {
		m.log.WithField("event", "engine-silent").WithError(err).Warn("engine does not answer polls")
		m.notifyFollowers()
	}
}

func (m *Manager) fetchReport() (r calls.EngineReport, err error) {
	defer fault.Annotate(&err, "fetch report of engine %s", m.settings.Upstream)
	status, body, err := m.callEngine(http.MethodGet, m.settings.Codec.ReportPath(), http.Header{}, nil)
	if err != nil {
		return r, err
	}
	if status != http.StatusOK {
		return r, eris.Errorf("unexpected HTTP status %d", status)
	}
	return m.settings.Codec.Report(body)
}

// callEngine sends a request with an optional JSON body to the engine and returns the HTTP
// status and body of the response, the body cut at maxResponseBytes.
func (m *Manager) callEngine(method, path string, h http.Header, body []byte) (status int, response []byte, err error) {
	if !m.mayCall() {
		return 0, nil, errPaused
	}
	ctx, cancel := context.WithTimeout(m.ctx, callTimeout)
	defer cancel()
	sentAt := time.Now()
	if body != nil {
		h.Set("Content-Type", "application/json")
	}
	r, err := m.settings.Conns.Do(ctx, m.settings.Upstream, &upconn.Request{
		Method: method,
		Target: path,
		Host:   m.settings.Upstream,
		Header: h,
		Body:   [][]byte{body},
		Group:  upconn.ControlGroup,
	})
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = r.Body.Close() }()
	m.observe(m.settings.Codec.ResponseInfo(r.Status, r.Header), sentAt)
	b, err := io.ReadAll(io.LimitReader(r.Body, maxResponseBytes))
	return r.Status, b, err
}

// errPaused means that the engine has asked for a pause.
var errPaused = eris.New("the engine has asked for a pause")

// mayCall reports whether the engine may be called now.
func (m *Manager) mayCall() bool {
	if m.settings.MayCall != nil && !m.settings.MayCall() {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	_, isPaused := m.pauses.Until(time.Now(), m.settings.Name)
	return !isPaused
}

// observe acts on what an answer of the engine says of it. sentAt is when the request was sent.
func (m *Manager) observe(i calls.ResponseInfo, sentAt time.Time) {
	if m.settings.Observe != nil {
		m.settings.Observe(i, sentAt)
	}
	m.limits.Observe(time.Now(), sentAt, m.settings.Name, i.Limit)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pauses.Ask(time.Now(), m.settings.Name, i.Pause)
	if i.Load != nil && i.Load.SlownessPercent > 0 {
		m.slownessPercent, m.slownessAt = i.Load.SlownessPercent, time.Now()
	}
	if i.Leaving && !m.leaving {
		m.leaving = true
		m.log.WithField("event", "engine-leaving").Info("engine says that it leaves")
		m.notifyFollowers()
	}
}

// decideStage decides, from the stages of the service's other engines, whether this engine
// should serve another stage. If so, it sends the engine an order to change.
func (m *Manager) decideStage() {
	if m.settings.MayOrder != nil && !m.settings.MayOrder() {
		return
	}
	peers := m.settings.Peers()
	now := time.Now()
	m.mu.Lock()
	r := m.report
	if !m.healthy(now) || r.Busy || now.Before(m.ordersFrom) {
		m.mu.Unlock()
		return
	}
	peers = append(peers, stages.Peer{Name: m.settings.Name, Stage: r.Stage})
	to, ok := m.stages.Decide(now, peers, r.AcceptedOrders > 0)
	m.mu.Unlock()
	if !ok {
		return
	}
	o := calls.Order{
		Stage:                  to,
		Holder:                 m.settings.VM,
		Instance:               m.settings.Instance,
		Fence:                  m.settings.Fence(),
		ExpectedAcceptedOrders: r.AcceptedOrders,
	}
	m.sendOrder(o, len(peers))
}

func (m *Manager) sendOrder(o calls.Order, peers int) {
	l := m.log.WithFields(logrus.Fields{
		"event": "order", "to": o.Stage.String(), "fence": o.Fence, "after": o.ExpectedAcceptedOrders, "peers": peers,
	})
	path, h, body, err := m.settings.Codec.Order(o)
	if err != nil {
		l.WithError(err).Error("cannot encode the stage order")
		return
	}
	status, _, err := m.callEngine(http.MethodPost, path, h, body)
	if err != nil {
		// The engine may have accepted the order nevertheless; its next report shows that.
		m.settings.Metrics.orders.WithLabelValues("none").Inc()
		l.WithError(err).Warn("no response to the stage order")
		return
	}
	if status == http.StatusAccepted {
		m.mu.Lock()
		m.orderedStage = o.Stage
		m.mu.Unlock()
	}
	m.settings.Metrics.orders.WithLabelValues(strconv.Itoa(status)).Inc()
	l.WithField("status", status).Info("engine responded to the stage order")
}

// requestedStage returns the stage that an engine must serve for a hold request.
func requestedStage(q *wire.HoldRequest) wire.Stage {
	if q.Prefill {
		return wire.Stage_STAGE_PREFILL
	}
	return wire.Stage_STAGE_DECODE
}
