package grants

import (
	"time"

	"cranberrypoint.example/coord/place"
	"cranberrypoint.example/coord/wire"
	"github.com/sirupsen/logrus"
)

// Hold reserves a place for as long as the entry keeps the stream open, so that a place
// is freed on every way out, also that of an entry's death.
func (g *EngineAgent) Hold(s wire.DRPCMesh_HoldStream) error {
	q, err := s.Recv()
	if err != nil {
		return err
	}
	if q.Prefill {
		return g.holdPrefill(s, q)
	}
	c := make(chan place.Outcome, 1)
	began := time.Now()
	g.open(q, c)
	defer g.release(q.Request, c)
	var o place.Outcome
	select {
	case o = <-c:
	case <-s.Context().Done():
		return s.Context().Err()
	}
	g.logOutcome(q, o, time.Since(began))
	if err := s.Send(reply(o)); err != nil || !o.Granted {
		return err
	}
	if wait(s) {
		g.end(q.Request)
	}
	return nil
}

// wait returns when the entry ends the stream, and whether the answer was whole.
func wait(s wire.DRPCMesh_HoldStream) (whole bool) {
	for {
		m, err := s.Recv()
		if err != nil {
			return whole
		}
		whole = m.Whole
	}
}

// end ends the place of a whole answer.
func (g *EngineAgent) end(request string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tell(g.ledger.End(time.Now(), request))
}

func (g *EngineAgent) open(q *wire.HoldRequest, c chan place.Outcome) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.report.Stage != stageOf(q) || !g.sound(now) {
		c <- place.Outcome{Request: q.Request, Reason: "the engine serves another stage or is silent", Again: now.Add(soundFor)}
		return
	}
	g.waiting[q.Request] = c
	g.ledger.SetSlots(int(q.Slots))
	a := place.Ask{
		Request:  q.Request,
		Prompt:   q.Prompt,
		Most:     q.Most,
		Priority: int(q.Priority),
		Patience: now.Add(micros(q.PatienceMicros)),
	}
	if q.TimelyMicros > 0 {
		a.Timely = now.Add(micros(q.TimelyMicros))
	}
	g.tell(g.ledger.Ask(now, a))
	g.notify()
}

// release ends a place unless another stream has taken the request's name meanwhile.
func (g *EngineAgent) release(request string, c chan place.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w := g.waiting[request]; w != nil && w != c {
		return
	}
	delete(g.waiting, request)
	g.tell(g.ledger.Release(time.Now(), request))
	g.notify()
}

// holdPrefill counts a prompt as backlog while it is read, if the engine may read it.
func (g *EngineAgent) holdPrefill(s wire.DRPCMesh_HoldStream, q *wire.HoldRequest) error {
	ok := g.beginRead(q)
	g.metrics.prompts.WithLabelValues(yes(ok)).Inc()
	if !ok {
		return s.Send(&wire.HoldReply{Reason: "another prompt is read beside the answers"})
	}
	defer g.endRead(q)
	if err := s.Send(&wire.HoldReply{Granted: true}); err != nil {
		return err
	}
	wait(s)
	return nil
}

// beginRead reports whether the engine may read a prompt now. One that makes answers reads
// only some, beside the run of the same request.
func (g *EngineAgent) beginRead(q *wire.HoldRequest) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.report.Stage == wire.Stage_STAGE_DECODE && !g.reads.Begin(time.Now(), q.Request, g.ledger.Running()-1) {
		return false
	}
	g.backlog += q.Prompt
	g.notify()
	return true
}

func (g *EngineAgent) endRead(q *wire.HoldRequest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reads.End(time.Now(), q.Request)
	g.backlog -= q.Prompt
	g.notify()
}

// Follow sends the state at each change, and now and then without one.
func (g *EngineAgent) Follow(_ *wire.FollowRequest, s wire.DRPCMesh_FollowStream) error {
	t := time.NewTicker(followPeriod)
	defer t.Stop()
	for {
		g.mu.Lock()
		m, c := g.state(), g.changed
		g.mu.Unlock()
		if err := s.Send(m); err != nil {
			return err
		}
		select {
		case <-c:
			time.Sleep(followGap)
		case <-t.C:
		case <-s.Context().Done():
			return nil
		}
	}
}

func reply(o place.Outcome) *wire.HoldReply {
	r := &wire.HoldReply{Granted: o.Granted, Reason: o.Reason}
	if !o.Granted {
		r.AgainMicros = max(0, time.Until(o.Again)).Microseconds()
	}
	return r
}

func (g *EngineAgent) logOutcome(q *wire.HoldRequest, o place.Outcome, waited time.Duration) {
	g.metrics.places.WithLabelValues(yes(o.Granted), o.Reason).Inc()
	g.metrics.waits.WithLabelValues(yes(o.Granted)).Observe(waited.Seconds())
	g.mu.Lock()
	s := g.ledger.State()
	age := time.Since(g.reported)
	g.mu.Unlock()
	g.log.WithFields(logrus.Fields{
		"event": "place", "request": q.Request, "prompt": q.Prompt, "most": q.Most, "granted": o.Granted,
		"reason": o.Reason, "waited-ms": waited.Milliseconds(), "running": s.Running, "waiting": s.Waiting,
		"room": s.Room, "report-age-ms": age.Milliseconds(),
	}).Info("place")
}

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
