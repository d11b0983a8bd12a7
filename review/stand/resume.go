package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// powerTime is how long the machines are without power, besides the start.
	powerTime = 1200 * time.Millisecond
	// resumeStreams is the number of streams that are open then.
	resumeStreams = 16
	// abandonTime is the gap after which clients abandon a stream: four times the objective.
	abandonTime = 4 * streamObjective
	// streamObjective is the objective of the route.
	streamObjective = 900 * time.Millisecond
	// resumeTries bounds a client's attempts.
	resumeTries = 6
)

// playResume lets all machines of the system lose power, and clients take up their streams again. All runners have had
// one version all the time.
func playResume(w *world) error {
	w.configure(
		[]map[string]any{{
			"name": "r-digest", "host": host, "prefix": "/digest/", wire.Kind: "streaming", "timeout-ms": streamTimeout.Milliseconds(),
			"target-latency-ms": streamObjective.Milliseconds(), "target-gap-ms": 300, "priority": 1, "service": "digest", "max-attempts": 2, "resumable": true,
		}},
		[]map[string]any{{"name": "digest", "health-path": "/healthz", "max-connections": 144}},
		[]map[string]any{{"name": "workspace", wire.Keys: []string{"key-1"}}},
	)
	for i := range 3 {
		r := &runner{id: fmt.Sprintf("i-%d", i), service: "digest", version: "v1", slots: 60, work: 100 * time.Millisecond, events: 100, address: w.address(101+i, runnerPort)}
		if err := w.startRunner(r); err != nil {
			return err
		}
	}
	if err := w.startEntries(3, memoryMB); err != nil {
		return err
	}
	var relays []*relay
	for _, p := range w.entries {
		r, err := w.newRelay(p.clients())
		if err != nil {
			return err
		}
		relays = append(relays, r)
	}
	time.Sleep(16 * time.Second)
	s := &takeUps{world: w, relays: relays}
	var wait sync.WaitGroup
	for i := range resumeStreams {
		wait.Go(func() { s.follow(i) })
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	if w.trouble {
		w.add("all machines lose power")
		for i, p := range w.entries {
			relays[i].silence()
			p.pauseRestart(powerTime)
			p.signal(syscall.SIGKILL)
		}
		for _, p := range w.entries {
			if !p.awaitReady(15 * time.Second) {
				return fmt.Errorf("%s isn't ready again", p.name)
			}
		}
		s.inTouchAt(time.Now().Add(contactTime))
	}
	wait.Go(s.beginOthers)
	wait.Wait()
	w.add("in touch: %d of %d streams went on that clients took up again, %d of %d new ones began", s.wentOn, s.tookUp, s.began, s.tried)
	if !w.trouble {
		if s.tookUp > 0 || s.began < s.tried {
			return fmt.Errorf("streams broke off without a disruption")
		}
		return nil
	}
	if s.tookUp < 12 || s.tried < 12 {
		return fmt.Errorf("only %d streams were taken up again and %d begun", s.tookUp, s.tried)
	}
	if 2*s.wentOn*s.tried < s.began*s.tookUp {
		return fmt.Errorf("%w: LOST: %d of %d streams went on, %d of %d began", errBroken, s.wentOn, s.tookUp, s.began, s.tried)
	}
	return nil
}

// takeUps counts the streams that clients take up again or begin at machines in touch.
type takeUps struct {
	*world
	relays []*relay

	mu      sync.Mutex
	inTouch time.Time
	tookUp  int
	wentOn  int
	tried   int
	began   int
}

func (s *takeUps) inTouchAt(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inTouch = t
	s.add("machines are in touch from %.3f s on", time.Until(t).Seconds()+time.Since(s.record.began).Seconds())
}

func (s *takeUps) isInTouch() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.inTouch.IsZero() && time.Now().After(s.inTouch)
}

// follow begins a stream, and takes it up again after a gap, a break or a refusal.
func (s *takeUps) follow(number int) {
	id := fmt.Sprintf("s-%d", number)
	deadline := time.Now().Add(streamTimeout)
	last, counted, wentOn := 0, false, false
	for try := range resumeTries {
		q := request{method: http.MethodPost, path: "/digest" + streamPath, id: fmt.Sprintf("%s-%d", id, try), key: "key-1", body: []byte("prompt " + id), timeout: time.Until(deadline)}
		if last > 0 {
			q.resumes, q.lastEvent = id+"-0", last
		}
		inTouch := s.isInTouch()
		counted = counted || inTouch && last > 0
		n, a := s.watch(s.relays[(number+try)%len(s.relays)].address(), q)
		wentOn = wentOn || inTouch && n > last
		last = max(last, n)
		if a.complete && a.status == http.StatusOK || time.Now().After(deadline) {
			break
		}
		time.Sleep(min(a.retryAfter, time.Until(deadline)/3))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if counted {
		s.tookUp++
	}
	if wentOn {
		s.wentOn++
	}
}

// watch sends an attempt and reads its events. It abandons a stream without an event for abandonTime.
func (s *takeUps) watch(address string, q request) (last int, a answer) {
	ctx, cancel := context.WithTimeout(context.Background(), q.timeout)
	defer cancel()
	gap := time.AfterFunc(abandonTime, cancel)
	defer gap.Stop()
	s.add("client: sends %s (resumes %q after %d)", q.id, q.resumes, q.lastEvent)
	t := &http.Transport{DisableKeepAlives: true}
	defer t.CloseIdleConnections()
	resp, err := t.RoundTrip(q.newHTTP(ctx, address))
	if err != nil {
		s.add("client: %s: %v", q.id, err)
		return 0, answer{err: err}
	}
	if resp.StatusCode != http.StatusOK {
		a = readAnswer(resp)
		s.add("client: %s: %s", q.id, a)
		return 0, a
	}
	defer func() { _ = resp.Body.Close() }()
	a.status = resp.StatusCode
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if _, err := fmt.Sscanf(lines.Text(), "id: %d", &last); err == nil {
			gap.Reset(abandonTime)
		}
	}
	a.err = lines.Err()
	a.complete = a.err == nil
	s.add("client: %s: status %d, last event %d, complete %t, error %v", q.id, a.status, last, a.complete, a.err)
	return last, a
}

// beginOthers begins new streams while clients take up the others.
func (s *takeUps) beginOthers() {
	for s.trouble && !s.isInTouch() {
		time.Sleep(10 * time.Millisecond)
	}
	var wait sync.WaitGroup
	for i := range resumeStreams {
		wait.Go(func() {
			q := request{method: http.MethodPost, path: "/digest" + streamPath, id: fmt.Sprintf("n-%d", i), key: "key-1", body: []byte("other"), timeout: streamTimeout}
			n, _ := s.watch(s.relays[i%len(s.relays)].address(), q)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.tried++
			if n > 0 {
				s.began++
			}
		})
		time.Sleep(150 * time.Millisecond)
	}
	wait.Wait()
}
