package proxy

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/clock"
	"cranberrypoint.example/coord/fake"
	"cranberrypoint.example/coord/link"
	"cranberrypoint.example/coord/rules"
)

const (
	// smallLinkRate is the rate of a VM's link with 10 Mbit/s, in bytes a second.
	smallLinkRate = 10_000_000 / 8
	// manyRoutes is about as many as an item of the store has room for.
	manyRoutes = 2500
	// applyTime is the time within which a change must be in force.
	applyTime = 2 * time.Second
)

// largeRules returns rules with many routes whose names have nothing in common.
func largeRules(t *testing.T, version uint64) *rules.Rules {
	t.Helper()
	c := rules.Config{Version: version, Services: []rules.Service{{Name: "s"}}}
	random := rand.New(rand.NewPCG(1, 1))
	for range manyRoutes {
		c.Routes = append(c.Routes, rules.Route{
			Name: fmt.Sprintf("r-%x", random.Uint32()), Host: fmt.Sprintf("%x.example", random.Uint32()), Prefix: fmt.Sprintf("/%x/", random.Uint64()),
			Kind: rules.Idempotent, Timeout: time.Second, TargetLatency: time.Second, Destinations: []rules.Destination{{Service: "s", Weight: 1}}, MaxAttempts: 2,
		})
	}
	r, err := rules.New(c)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// serveListing starts an entry that reads a listing from the store all the time, and returns its address.
func serveListing(ctx context.Context, t *testing.T, listing func() calls.Listing) (address string) {
	t.Helper()
	p := newTestProxy(ctx, t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	read := func() {
		if err := p.adopt(listing(), clock.Now()); err != nil {
			t.Errorf("adopt: %v", err)
		}
	}
	read()
	go func() { _ = link.ServeMesh(ctx, l, nil, p) }()
	go func() {
		for ctx.Err() == nil {
			read()
			time.Sleep(pollPeriod)
		}
	}()
	return l.Addr().String()
}

// TestLargeConfigReachesSmallLinksInTime guards against changes that are late, or never in force, at entries on VMs with small
// links: with many routes, the configuration takes longer over such a link than an answer was awaited.
func TestLargeConfigReachesSmallLinksInTime(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	changed := make(chan struct{})
	versions := []calls.Listing{{Rules: largeRules(t, 1), Revision: 1}, {Rules: largeRules(t, 2), Revision: 2}}
	listing := func() calls.Listing {
		select {
		case <-changed:
			return versions[1]
		default:
			return versions[0]
		}
	}
	small, closeLink := fake.NewSlowLink(smallLinkRate)
	defer closeLink()
	var readers []string
	for range maxStoreReaders {
		a, err := small.To(serveListing(ctx, t, listing))
		if err != nil {
			t.Fatal(err)
		}
		readers = append(readers, a)
	}
	p := newTestProxy(ctx, t, readers...)
	if err := p.adopt(versions[0], clock.Now()); err != nil {
		t.Fatal(err)
	}
	p.tasks.Go(p.pollConfig)
	defer p.tasks.Close()
	defer cancel()
	time.Sleep(pollPeriod)
	close(changed)
	began := time.Now()
	for p.snapshot.Load().rules.Version() != 2 {
		if time.Since(began) > applyTime {
			t.Fatalf("the change isn't in force after %s; %d bytes were received", applyTime, small.Received())
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Logf("the change was in force after %s, %d bytes were received", time.Since(began), small.Received())
}
