package crowd

import (
	"testing"
	"time"
)

// settleTimeout bounds the wait for a crowd to have sent what it sends.
const settleTimeout = 10 * time.Second

// Scene is what a crowd meets: running programs, and the requests of ordinary callers.
type Scene struct {
	// Address is where callers connect.
	Address   string
	Processes []*Process
	Bounds    Bounds
	// Ordinary returns the next ordinary request of each kind, by the name of the kind.
	Ordinary map[string]func() Request
	// Kept is the kind of the requests on a connection that is kept beside the crowd.
	Kept string
}

// Play lets a crowd connect. All processes must live and keep their bounds, ordinary requests must be answered while the crowd
// stays and afterwards, and the next request on a connection that was kept must be.
func (s Scene) Play(t *testing.T, clients int, c Client) {
	t.Helper()
	kept, closeConn, err := Dial(s.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer closeConn()
	if err := kept.Ask(s.Ordinary[s.Kept]()); err != nil {
		t.Fatalf("a request in calm: %v", err)
	}
	w, stop := Start(s.Address, clients, c)
	defer stop()
	w.Settle(settleTimeout)
	if err := kept.Ask(s.Ordinary[s.Kept]()); err != nil {
		t.Errorf("the next request on a kept connection, beside the crowd: %v", err)
	}
	s.checkOrdinary(t, "beside the crowd")
	stop()
	s.checkOrdinary(t, "after the crowd")
	t.Logf("the crowd sent %d bytes", w.Sent())
	s.Check(t)
}

// checkOrdinary checks that an ordinary request of each kind is answered.
func (s Scene) checkOrdinary(t *testing.T, when string) {
	t.Helper()
	for kind, next := range s.Ordinary {
		refused, ok := AskAgain(s.Address, next)
		for _, err := range refused {
			t.Logf("an ordinary %s, %s: %v", kind, when, err)
		}
		if !ok {
			t.Errorf("no ordinary %s was answered %s", kind, when)
		}
	}
}

// Check checks that all processes live and have kept their bounds.
func (s Scene) Check(t *testing.T) {
	t.Helper()
	for _, p := range s.Processes {
		peak, wrong := p.Check(s.Bounds)
		t.Logf("%s held at most %d bytes, unread ones included, %d unread, and %d sockets", p.Name, peak.MemoryBytes, peak.UnreadBytes, peak.Sockets)
		for _, w := range wrong {
			t.Error(w)
		}
		if t.Failed() {
			t.Logf("the end of the log of %s:\n%s", p.Name, p.Log())
		}
	}
}
