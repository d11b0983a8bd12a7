package grants

import (
	"time"

	"cranberrypoint.example/coord/place"
	"cranberrypoint.example/coord/wire"
	"github.com/sirupsen/logrus"
)

// Hold reserves a place for a run, or counts a prompt that the engine is to prefill in the
// backlog, until the entry closes the stream. Tying the reservation to the stream frees it
// however the run ends, also if the entry dies.
//
// The entry's first message is the request; the reply grants or refuses it. A later message
// tells whether the engine's output for the run was complete.
func (e *EngineAgent) Hold(s wire.DRPCMesh_HoldStream) error {
	q, err := s.Recv()
	if err != nil {
		return err
	}
	if q.Prefill {
		return e.holdPrefill(s, q)
	}
	c := make(chan place.Outcome, 1)
	began := time.Now()
	e.requestPlace(q, c)
	defer e.releasePlace(q.Request, c)
	var o place.Outcome
	select {
	case o = <-c:
	case <-s.Context().Done():
		return s.Context().Err()
	}
	e.recordOutcome(q, o, time.Since(began))
	if err := s.Send(holdReply(o)); err != nil || !o.Granted {
		return err
	}
	if awaitClose(s) {
		e.completeRun(q.Request)
	}
	return nil
}

// awaitClose blocks until the entry closes the stream, and reports whether its last message
// said that the engine's output was complete.
func awaitClose(s wire.DRPCMesh_HoldStream) (complete bool) {
	for {
		m, err := s.Recv()
		if err != nil {
			return complete
		}
		complete = m.Whole
	}
}

// completeRun frees the place of a run whose output was complete, and lets the ledger learn
// the output's length. A later releasePlace finds no place left to free.
func (e *EngineAgent) completeRun(request string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.deliver(e.ledger.Complete(time.Now(), request))
}

// requestPlace asks the ledger for a place. The outcome is sent on c, at once or later.
func (e *EngineAgent) requestPlace(q *wire.HoldRequest, c chan place.Outcome) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.report.Stage != requestedStage(q) || !e.healthy(now) {
		c <- place.Outcome{RequestID: q.Request, Reason: "the engine serves another stage or is silent", RetryAt: now.Add(reportTTL)}
		return
	}
	e.waiters[q.Request] = c
	// Each request carries the configured size of the engine's batch.
	e.ledger.SetSlots(int(q.Slots))
	a := place.Request{
		ID:           q.Request,
		PromptTokens: q.Prompt,
		MaxTokens:    q.Most,
		Priority:     int(q.Priority),
		ExpiresAt:    now.Add(microseconds(q.PatienceMicros)),
	}
	if q.TimelyMicros > 0 {
		a.StartBy = now.Add(microseconds(q.TimelyMicros))
	}
	e.deliver(e.ledger.Submit(now, a))
	e.notifyFollowers()
}

// releasePlace frees a request's place or ends its wait, unless another stream with the
// same request id waits by now.
func (e *EngineAgent) releasePlace(request string, c chan place.Outcome) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if w := e.waiters[request]; w != nil && w != c {
		return
	}
	delete(e.waiters, request)
	e.deliver(e.ledger.Release(time.Now(), request))
	e.notifyFollowers()
}

// holdPrefill counts a prompt in the backlog until the entry closes the stream, or refuses
// it if the engine can't prefill it now.
func (e *EngineAgent) holdPrefill(s wire.DRPCMesh_HoldStream, q *wire.HoldRequest) error {
	ok := e.beginPrefill(q)
	e.metrics.prompts.WithLabelValues(boolLabel(ok)).Inc()
	if !ok {
		return s.Send(&wire.HoldReply{Reason: "another prompt is read beside the answers"})
	}
	defer e.endPrefill(q)
	if err := s.Send(&wire.HoldReply{Granted: true}); err != nil {
		return err
	}
	awaitClose(s)
	return nil
}

// beginPrefill reports whether the engine may prefill a prompt now, and if so adds the prompt
// to the backlog. A prefill engine always may. On a decode engine, localPrefill decides from
// the number of other runs. The run of the same request isn't one of them, but has its place
// already and is therefore subtracted.
func (e *EngineAgent) beginPrefill(q *wire.HoldRequest) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.report.Stage == wire.Stage_STAGE_DECODE && !e.localPrefill.Begin(time.Now(), q.Request, e.ledger.Running()-1) {
		return false
	}
	e.backlog += q.Prompt
	e.notifyFollowers()
	return true
}

func (e *EngineAgent) endPrefill(q *wire.HoldRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.localPrefill.End(time.Now(), q.Request)
	e.backlog -= q.Prompt
	e.notifyFollowers()
}

// Follow sends the state minStateInterval after each change that closes stateChanged, and in
// addition every maxStateInterval.
func (e *EngineAgent) Follow(_ *wire.FollowRequest, s wire.DRPCMesh_FollowStream) error {
	t := time.NewTicker(maxStateInterval)
	defer t.Stop()
	for {
		e.mu.Lock()
		m, c := e.state(), e.stateChanged
		e.mu.Unlock()
		if err := s.Send(m); err != nil {
			return err
		}
		select {
		case <-c:
			time.Sleep(minStateInterval)
		case <-t.C:
		case <-s.Context().Done():
			return nil
		}
	}
}

func holdReply(o place.Outcome) *wire.HoldReply {
	r := &wire.HoldReply{Granted: o.Granted, Reason: o.Reason}
	if !o.Granted {
		r.AgainMicros = max(0, time.Until(o.RetryAt)).Microseconds()
	}
	return r
}

// recordOutcome counts and logs the outcome of a place request.
func (e *EngineAgent) recordOutcome(q *wire.HoldRequest, o place.Outcome, waited time.Duration) {
	e.metrics.placeRequests.WithLabelValues(boolLabel(o.Granted), o.Reason).Inc()
	e.metrics.waits.WithLabelValues(boolLabel(o.Granted)).Observe(waited.Seconds())
	e.mu.Lock()
	s := e.ledger.State()
	age := time.Since(e.reportedAt)
	e.mu.Unlock()
	e.log.WithFields(logrus.Fields{
		"event": "place", "request": q.Request, "prompt": q.Prompt, "most": q.Most, "granted": o.Granted,
		"reason": o.Reason, "waited-ms": waited.Milliseconds(), "running": s.Running, "waiting": s.Waiting,
		"room": s.MaxPromptTokens, "report-age-ms": age.Milliseconds(),
	}).Info("place request granted or refused")
}

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
