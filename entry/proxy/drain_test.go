package proxy

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/rules"
	"cranberrypoint.example/coord/slots"
	"github.com/google/go-cmp/cmp"
)

// TestShutdownInterruptsLateRequests checks which requests an entry accepts during a shutdown: all
// until the load balancer knows of it, and then only those that end before the shutdown does.
func TestShutdownInterruptsLateRequests(t *testing.T) {
	began := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }
	s := shutdown{deregisteredAt: at(3000), deadline: at(7300)}
	for _, c := range []struct {
		name              string
		arrived, deadline int
		want              bool
	}{
		{"a stream at once", 100, 14100, false},
		{"a call at once", 100, 700, false},
		{"a short call later", 5000, 5600, false},
		{"a long call later", 5000, 9000, true},
		{"a short call at the end", 7100, 7700, true},
	} {
		if got := s.mayInterrupt(at(c.arrived), at(c.deadline)); got != c.want {
			t.Errorf("%s: may be interrupted: %v", c.name, got)
		}
	}
}

// TestNothingIsAcceptedAfterDrain checks that no request can begin once a drain has ended and the process is about to
// stop: it would be cut off.
func TestNothingIsAcceptedAfterDrain(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := newTestProxy(t.Context(), t)
	p.clientConns, p.stoppedAccepting = newConnTracker(l), make(chan struct{})
	p.http = &http.Server{Handler: http.NotFoundHandler(), ConnState: p.clientConns.trackState, ConnContext: p.clientConns.connContext}
	defer func() { _ = p.http.Close() }()
	go p.serveCallers()
	ctx, cancel := context.WithTimeout(t.Context(), 2*deregistrationDelay)
	defer cancel()
	p.Drain(ctx)
	if r, err := http.Get("http://" + l.Addr().String()); err == nil {
		_ = r.Body.Close()
		t.Errorf("a request after the drain got status %d", r.StatusCode)
	}
}

// TestShutdownShortensWaitForSlot guards against a request that waits for a slot until a shutdown closes its connection: it must
// be refused while it can still be answered.
func TestShutdownShortensWaitForSlot(t *testing.T) {
	p := newTestProxy(t.Context(), t)
	x := &exchange{
		ctx:      t.Context(),
		service:  &rules.Service{Name: "s"},
		route:    &rules.Route{Kind: rules.NonIdempotent},
		deadline: time.Now().Add(time.Minute),
	}
	q := slots.Request[*slotWaiter]{Value: &slotWaiter{make(chan struct{})}, ExpiresAt: x.deadline}
	waited := make(chan struct{})
	go func() {
		defer close(waited)
		p.waitInQueue(x, q)
	}()
	p.shutdown.Store(&shutdown{deadline: time.Now().Add(100 * time.Millisecond)})
	p.signals.begin()
	select {
	case <-waited:
	case <-time.After(10 * time.Second):
		t.Fatal("the request still waits")
	}
	e := p.checkEndsBeforeShutdown(x)
	if e == nil {
		t.Fatal("the request isn't refused")
	}
	if d := cmp.Diff(fault.Leaving, e.Code); d != "" {
		t.Errorf("code (-want +got):\n%s", d)
	}
}
