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
	e.metrics.polls.WithLabelValues(boolLabel(err == nil)).Inc()
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

// handlePollError marks the engine as unhealthy at once if the poll couldn't be sent, as when
// the engine refuses connections. After any other failure, such as a timeout of an overloaded
// engine, it stays healthy until its last report is older than reportTTL. The caller holds
// the lock.
func (e *EngineAgent) handlePollError(wasHealthy bool, err error) {
	var sendErr *upconn.Error
	if errors.As(err, &sendErr) && !sendErr.Sent && !errors.Is(err, context.DeadlineExceeded) {
		e.reportedAt = time.Time{}
	}
	if wasHealthy && !e.healthy(time.Now()) {
		e.log.WithField("event", "engine-silent").WithError(err).Warn("engine does not answer polls")
		e.notifyFollowers()
	}
}

func (e *EngineAgent) fetchReport() (r calls.EngineReport, err error) {
	defer fault.Annotate(&err, "fetch report of engine %s", e.settings.Upstream)
	status, body, err := e.callEngine(http.MethodGet, e.settings.Codec.ReportPath(), nil)
	if err != nil {
		return r, err
	}
	if status != http.StatusOK {
		return r, eris.Errorf("unexpected HTTP status %d", status)
	}
	return e.settings.Codec.Report(body)
}

// callEngine sends a request with an optional JSON body to the engine and returns the HTTP
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

// decideStage decides, from the stages that the live agents of the service announce, whether
// this engine should serve another stage. If so, it sends the engine an order to change.
func (e *EngineAgent) decideStage() {
	// This agent comes first; its stage is set below.
	agents := []stages.Peer{{Name: e.settings.VM}}
	for _, m := range e.mesh.Live(mesh.RoleAgent) {
		if m.Service == e.settings.Service {
			agents = append(agents, stages.Peer{Name: m.Name, Stage: m.Stage})
		}
	}
	now := time.Now()
	e.mu.Lock()
	r := e.report
	if !e.healthy(now) || r.Busy {
		e.mu.Unlock()
		return
	}
	agents[0].Stage = r.Stage
	to, ok := e.stages.Decide(now, agents)
	if !ok {
		e.mu.Unlock()
		return
	}
	e.orderCount++
	// The incarnation in the membership record grows at each restart, so fencing tokens grow
	// across restarts.
	fence := e.mesh.Self().Incarnation + e.orderCount
	e.mu.Unlock()
	e.sendOrder(calls.Order{Stage: to, Holder: e.settings.VM, Fence: fence, ExpectedAcceptedOrders: r.AcceptedOrders}, len(agents))
}

func (e *EngineAgent) sendOrder(o calls.Order, agents int) {
	l := e.log.WithFields(logrus.Fields{
		"event": "order", "to": o.Stage.String(), "fence": o.Fence, "after": o.ExpectedAcceptedOrders, "peers": agents,
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
	l.WithField("status", status).Info("engine responded to the stage order")
}

// requestedStage returns the stage that an engine must serve for a hold request.
func requestedStage(q *wire.HoldRequest) wire.Stage {
	if q.Prefill {
		return wire.Stage_STAGE_PREFILL
	}
	return wire.Stage_STAGE_DECODE
}
