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

// ask takes in the engine's report.
func (g *EngineAgent) ask() {
	r, err := g.read()
	g.metrics.reports.WithLabelValues(yes(err == nil)).Inc()
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	was := g.sound(now)
	if err != nil {
		g.silent(was, err)
		return
	}
	if !was {
		g.log.WithFields(logrus.Fields{"event": "engine-sound", "stage": r.Stage.String(), "memory": r.Usage.Memory}).Info("engine")
	}
	if r.Stage != g.report.Stage {
		g.log.WithFields(logrus.Fields{"event": "stage-changed", "from": g.report.Stage.String(), "to": r.Stage.String()}).Info("engine")
		g.notify()
	}
	g.report = r
	g.reported = now
	g.told = nil
	g.tell(g.ledger.Observe(now, r.Usage))
}

// silent deals with a report that didn't come. An engine that refuses connections is gone;
// one that is late may be busy. The lock is held.
func (g *EngineAgent) silent(was bool, err error) {
	var e *upconn.Error
	if errors.As(err, &e) && !e.Sent && !errors.Is(err, context.DeadlineExceeded) {
		g.reported = time.Time{}
	}
	if was && !g.sound(time.Now()) {
		g.log.WithField("event", "engine-silent").WithError(err).Warn("engine")
		g.notify()
	}
}

func (g *EngineAgent) read() (r calls.EngineReport, err error) {
	defer fault.Annotate(&err, "report of %s", g.settings.Upstream)
	status, body, err := g.call(http.MethodGet, g.settings.Codec.ReportPath(), nil)
	if err != nil {
		return r, err
	}
	if status != http.StatusOK {
		return r, eris.Errorf("status %d", status)
	}
	return g.settings.Codec.Report(body)
}

// call makes a short call to the engine.
func (g *EngineAgent) call(method, path string, body []byte) (status int, answer []byte, err error) {
	ctx, cancel := context.WithTimeout(g.ctx, reportTimeout)
	defer cancel()
	h := http.Header{}
	if body != nil {
		h.Set("Content-Type", "application/json")
	}
	a, err := g.engine.Do(ctx, g.settings.Upstream, &upconn.Request{
		Method: method,
		Target: path,
		Host:   g.settings.Upstream,
		Header: h,
		Body:   body,
	})
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(a.Body, maxReport))
	return a.Status, b, err
}

// direct gives the engine an order if the agents of the service have come to one.
func (g *EngineAgent) direct() {
	peers := []stages.Peer{{Name: g.settings.VM}}
	for _, m := range g.mesh.Live(mesh.RoleAgent) {
		if m.Service == g.settings.Service {
			peers = append(peers, stages.Peer{Name: m.Name, Stage: m.Stage})
		}
	}
	now := time.Now()
	g.mu.Lock()
	r := g.report
	if !g.sound(now) || r.Busy {
		g.mu.Unlock()
		return
	}
	peers[0].Stage = r.Stage
	to, ok := g.stages.Decide(now, peers)
	if !ok {
		g.mu.Unlock()
		return
	}
	g.orders++
	fence := g.mesh.Self().Incarnation + g.orders
	g.mu.Unlock()
	g.order(calls.Order{Stage: to, Holder: g.settings.VM, Fence: fence, ExpectedOrders: r.AcceptedOrders}, len(peers))
}

func (g *EngineAgent) order(o calls.Order, peers int) {
	l := g.log.WithFields(logrus.Fields{
		"event": "order", "to": o.Stage.String(), "fence": o.Fence, "after": o.ExpectedOrders, "peers": peers,
	})
	path, body, err := g.settings.Codec.Order(o)
	if err != nil {
		l.WithError(err).Error("order")
		return
	}
	status, _, err := g.call(http.MethodPost, path, body)
	if err != nil {
		// The engine may have taken it; the next report tells.
		g.metrics.orders.WithLabelValues("none").Inc()
		l.WithError(err).Warn("order")
		return
	}
	if status == http.StatusAccepted {
		g.mu.Lock()
		g.ordered = o.Stage
		g.mu.Unlock()
	}
	g.metrics.orders.WithLabelValues(strconv.Itoa(status)).Inc()
	l.WithField("status", status).Info("order")
}

// stageOf names the stage of a place's request.
func stageOf(q *wire.HoldRequest) wire.Stage {
	if q.Prefill {
		return wire.Stage_STAGE_PREFILL
	}
	return wire.Stage_STAGE_DECODE
}
