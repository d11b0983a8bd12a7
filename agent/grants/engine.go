package grants

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/mesh"
	"cranberrypoint.example/coord/stages"
	"cranberrypoint.example/coord/upconn"
	"cranberrypoint.example/coord/wire"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

// pollEngine fetches the engine's report and updates the agent's state from it.
func (e *EngineAgent) pollEngine() {
	r, err := e.fetchReport()
	e.metrics.reports.WithLabelValues(boolLabel(err == nil)).Inc()
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	wasHealthy := e.healthy(now)
	if err != nil {
		e.handlePollError(wasHealthy, err)
		return
	}
	if !wasHealthy {
		e.log.WithFields(logrus.Fields{"event": "engine-sound", "stage": r.Stage.String(), "memory": r.Usage.MemoryTokens}).Info("engine is healthy")
	}
	if r.Stage != e.report.Stage {
		e.log.WithFields(logrus.Fields{"event": "stage-changed", "from": e.report.Stage.String(), "to": r.Stage.String()}).Info("engine changed its stage")
		e.notifyFollowers()
	}
	e.report = r
	e.reportedAt = now
	e.cachedState = nil
	e.deliver(e.ledger.Observe(now, r.Usage))
}

// handlePollError marks the engine as unhealthy at once if it refuses connections. After any
// other failure, such as a timeout because it is busy, it stays healthy until its last
// report is older than reportTTL. The caller holds the lock.
func (e *EngineAgent) handlePollError(wasHealthy bool, err error) {
	var sendErr *upconn.Error
	if errors.As(err, &sendErr) && !sendErr.Sent && !errors.Is(err, context.DeadlineExceeded) {
		e.reportedAt = time.Time{}
	}
	if wasHealthy && !e.healthy(time.Now()) {
		e.log.WithField("event", "engine-silent").WithError(err).Warn("engine does not answer status polls")
		e.notifyFollowers()
	}
}

func (e *EngineAgent) fetchReport() (r calls.EngineReport, err error) {
	defer fault.Annotate(&err, "poll status of engine %s", e.settings.Upstream)
	status, body, err := e.callEngine(http.MethodGet, e.settings.Codec.ReportPath(), nil)
	if err != nil {
		return r, err
	}
	if status != http.StatusOK {
		return r, eris.Errorf("unexpected status %d", status)
	}
	return e.settings.Codec.Report(body)
}

// callEngine sends a request with an optional JSON body to the engine and returns the
// status and body of the response, the body cut at maxResponseBytes.
func (e *EngineAgent) callEngine(method, path string, body []byte) (status int, response []byte, err error) {
	ctx, cancel := context.WithTimeout(e.ctx, callTimeout)
	defer cancel()
	h := http.Header{}
	if body != nil {
		h.Set("Content-Type", "application/json")
	}
	r, err := e.conns.Do(ctx, e.settings.Upstream, &upconn.Request{
		Method: method,
		Target: path,
		Host:   e.settings.Upstream,
		Header: h,
		Body:   body,
	})
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(r.Body, maxResponseBytes))
	return r.Status, b, err
}

// updateStage decides, from the stages that the live agents of the service announce,
// whether this engine should serve another stage, and orders it to if so.
func (e *EngineAgent) updateStage() {
	peers := []stages.Peer{{Name: e.settings.VM}}
	for _, m := range e.mesh.Live(mesh.RoleAgent) {
		if m.Service == e.settings.Service {
			peers = append(peers, stages.Peer{Name: m.Name, Stage: m.Stage})
		}
	}
	now := time.Now()
	e.mu.Lock()
	r := e.report
	if !e.healthy(now) || r.Busy {
		e.mu.Unlock()
		return
	}
	peers[0].Stage = r.Stage
	to, ok := e.stages.Decide(now, peers)
	if !ok {
		e.mu.Unlock()
		return
	}
	e.orderCount++
	// The incarnation grows at each restart, so fencing tokens grow across restarts.
	fence := e.mesh.Self().Incarnation + e.orderCount
	e.mu.Unlock()
	e.sendOrder(calls.Order{Stage: to, Holder: e.settings.VM, Fence: fence, ExpectedOrders: r.AcceptedOrders}, len(peers))
}

func (e *EngineAgent) sendOrder(o calls.Order, peers int) {
	l := e.log.WithFields(logrus.Fields{
		"event": "order", "to": o.Stage.String(), "fence": o.Fence, "after": o.ExpectedOrders, "peers": peers,
	})
	path, body, err := e.settings.Codec.Order(o)
	if err != nil {
		l.WithError(err).Error("cannot encode the stage order")
		return
	}
	status, _, err := e.callEngine(http.MethodPost, path, body)
	if err != nil {
		// The engine may have accepted the order nevertheless; its next report shows that.
		e.metrics.orders.WithLabelValues("none").Inc()
		l.WithError(err).Warn("no response to the stage order")
		return
	}
	if status == http.StatusAccepted {
		e.mu.Lock()
		e.orderedStage = o.Stage
		e.mu.Unlock()
	}
	e.metrics.orders.WithLabelValues(strconv.Itoa(status)).Inc()
	l.WithField("status", status).Info("engine answered the stage order")
}

// requestedStage returns the stage that an engine must serve for a hold request.
func requestedStage(q *wire.HoldRequest) wire.Stage {
	if q.Prefill {
		return wire.Stage_STAGE_PREFILL
	}
	return wire.Stage_STAGE_DECODE
}
