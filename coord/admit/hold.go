package admit

import (
	"time"

	"cranberrypoint.example/coord/place"
	"cranberrypoint.example/coord/wire"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

// errStopped means that the manager stopped during a call.
var errStopped = eris.New("the engine's manager stopped")

// Hold reserves a place for a run, or counts a prompt that the engine is to prefill in the
// backlog, until the entry closes the stream. Tying the reservation to the stream frees it
// however the run ends, also if the entry dies.
//
// The entry's first message, which the caller has received, is the request q; the reply grants
// or refuses it. A later message tells whether the engine's output for the run was complete.
func (m *Manager) Hold(q *wire.HoldRequest, s wire.DRPCMesh_HoldStream) error {
	if q.Prefill {
		return m.holdPrefill(s, q)
	}
	c := make(chan place.Outcome, 1)
	began := time.Now()
	m.requestPlace(q, c)
	defer m.releasePlace(q.Request, c)
	var o place.Outcome
	select {
	case o = <-c:
	case <-s.Context().Done():
		return s.Context().Err()
	case <-m.ctx.Done():
		return errStopped
	}
	m.recordOutcome(q, o, time.Since(began))
	if err := s.Send(m.holdReply(o)); err != nil || !o.Granted {
		return err
	}
	if awaitClose(s) {
		m.completeRun(q.Request)
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
func (m *Manager) completeRun(request string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.deliver(m.ledger.Complete(time.Now(), request))
}

// requestPlace asks the ledger for a place. The outcome is sent on c, at once or later.
func (m *Manager) requestPlace(q *wire.HoldRequest, c chan place.Outcome) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.report.Stage != requestedStage(q) || !m.healthy(now) {
		c <- place.Outcome{RequestID: q.Request, Reason: "the engine serves another stage or is silent", RetryAt: now.Add(m.reportTTL)}
		return
	}
	m.waiters[q.Request] = c
	// Each request carries the configured size of the engine's batch.
	m.ledger.SetSlots(int(q.Slots))
	a := place.Request{
		ID:           q.Request,
		PromptTokens: q.Prompt,
		MaxTokens:    q.Most,
		Priority:     int(q.Priority),
		ExpiresAt:    now.Add(microseconds(q.PatienceMicros)),
		Workspace:    q.Workspace,
		Weight:       q.Weight,
	}
	if q.TimelyMicros > 0 {
		a.StartBy = now.Add(microseconds(q.TimelyMicros))
	}
	m.deliver(m.ledger.Submit(now, a))
	m.notifyFollowers()
	if m.waiters[q.Request] == nil {
		return
	}
	select {
	case m.queued <- struct{}{}:
	default:
	}
}

// releasePlace frees a request's place or ends its wait, unless another stream with the
// same request id waits by now.
func (m *Manager) releasePlace(request string, c chan place.Outcome) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if w := m.waiters[request]; w != nil && w != c {
		return
	}
	delete(m.waiters, request)
	m.deliver(m.ledger.Release(time.Now(), request))
	m.notifyFollowers()
}

// holdPrefill counts a prompt in the backlog until the entry closes the stream, or refuses
// it if the engine can't prefill it now.
func (m *Manager) holdPrefill(s wire.DRPCMesh_HoldStream, q *wire.HoldRequest) error {
	ok := m.beginPrefill(q)
	m.settings.Metrics.prompts.WithLabelValues(boolLabel(ok)).Inc()
	if !ok {
		return s.Send(&wire.HoldReply{Reason: "another prompt is read beside the answers"})
	}
	defer m.endPrefill(q)
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
func (m *Manager) beginPrefill(q *wire.HoldRequest) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.report.Stage == wire.Stage_STAGE_DECODE && !m.localPrefill.Begin(time.Now(), q.Request, m.ledger.Running()-1) {
		return false
	}
	m.backlog += q.Prompt
	m.notifyFollowers()
	return true
}

func (m *Manager) endPrefill(q *wire.HoldRequest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.localPrefill.End(time.Now(), q.Request)
	m.backlog -= q.Prompt
	m.notifyFollowers()
}

// Follow sends the state minStateInterval after each change that closes stateChanged, and in
// addition every maxStateInterval, until the stream or the manager ends.
func (m *Manager) Follow(s wire.DRPCMesh_FollowStream) error {
	t := time.NewTicker(maxStateInterval)
	defer t.Stop()
	for {
		m.mu.Lock()
		state, changed := m.state(), m.stateChanged
		m.mu.Unlock()
		if err := s.Send(state); err != nil {
			return err
		}
		select {
		case <-changed:
			time.Sleep(minStateInterval)
		case <-t.C:
		case <-s.Context().Done():
			return nil
		case <-m.ctx.Done():
			return errStopped
		}
	}
}

func (m *Manager) holdReply(o place.Outcome) *wire.HoldReply {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := &wire.HoldReply{Granted: o.Granted, Reason: o.Reason}
	if m.pollInterval == pollInterval {
		// The report of an engine on another VM may be that of an earlier start.
		r.StartedMillis = m.report.Usage.StartUnixMillis
	}
	if !o.Granted {
		r.AgainMicros = max(0, time.Until(o.RetryAt)).Microseconds()
	}
	return r
}

// recordOutcome counts and logs the outcome of a place request.
func (m *Manager) recordOutcome(q *wire.HoldRequest, o place.Outcome, waited time.Duration) {
	m.settings.Metrics.placeRequests.WithLabelValues(boolLabel(o.Granted), o.Reason).Inc()
	m.settings.Metrics.waits.WithLabelValues(boolLabel(o.Granted)).Observe(waited.Seconds())
	m.mu.Lock()
	s := m.ledger.State(time.Now())
	age := time.Since(m.reportedAt)
	m.mu.Unlock()
	f := logrus.Fields{
		"event": "place", "engine": m.settings.Upstream, "request": q.Request, "prompt": q.Prompt, "most": q.Most, "granted": o.Granted,
		"reason": o.Reason, "waited-ms": waited.Milliseconds(), "running": s.Running, "waiting": s.Waiting,
		"room": s.MaxPromptTokens, "report-age-ms": age.Milliseconds(),
	}
	if o.ShareState.Shared {
		m.settings.Metrics.sharedPlaces.WithLabelValues(boolLabel(o.Granted), boolLabel(o.ShareState.OverShare)).Inc()
		f["workspace"], f["weight"], f["ahead"] = q.Workspace, q.Weight, o.ShareState.Ahead
		f["used-tokens"], f["fair-tokens"] = int64(o.ShareState.UsedTokens), int64(o.ShareState.FairTokens)
	}
	m.log.WithFields(f).Info("place request granted or refused")
}

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
