package proxy

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
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

// smallLinkEntry returns an entry on a VM with a small link, and the addresses at which it reaches the store readers.
func smallLinkEntry(ctx context.Context, t *testing.T, listing func() calls.Listing) (p *Proxy, small *fake.SlowLink, readers []string) {
	t.Helper()
	small, closeLink := fake.NewSlowLink(smallLinkRate)
	t.Cleanup(closeLink)
	for range maxStoreReaders {
		a, err := small.To(serveListing(ctx, t, listing))
		if err != nil {
			t.Fatal(err)
		}
		readers = append(readers, a)
	}
	return newTestProxy(ctx, t, readers...), small, readers
}

// awaitVersion lets an entry refresh its snapshot until a version is in force, which must be so within applyTime.
func awaitVersion(t *testing.T, p *Proxy, small *fake.SlowLink, version uint64) {
	t.Helper()
	began := time.Now()
	for v := p.snapshot.Load(); v == nil || v.rules.Version() != version; v = p.snapshot.Load() {
		if time.Since(began) > applyTime {
			t.Fatalf("version %d isn't in force after %s; %d bytes were received", version, applyTime, small.Received())
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Logf("version %d was in force after %s, %d bytes were received", version, time.Since(began), small.Received())
}

// TestLargeConfigReachesSmallLinksInTime guards against changes that are late, or never in force, at entries on VMs with small
// links: with many routes, the configuration takes longer over such a link than an answer was awaited.
func TestLargeConfigReachesSmallLinksInTime(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	versions := []calls.Listing{{Rules: largeRules(t, 1), Revision: 1}, {Rules: largeRules(t, 2), Revision: 2}}
	var newest atomic.Int64
	p, small, _ := smallLinkEntry(ctx, t, func() calls.Listing { return versions[newest.Load()] })
	if err := p.adopt(versions[0], clock.Now()); err != nil {
		t.Fatal(err)
	}
	p.tasks.Go(p.pollConfig)
	defer p.tasks.Close()
	defer cancel()
	time.Sleep(pollPeriod)
	newest.Store(1)
	awaitVersion(t, p, small, 2)
}

// TestLargeConfigReachesStartingEntry is TestLargeConfigReachesSmallLinksInTime for an entry that starts and knows only seeds.
func TestLargeConfigReachesStartingEntry(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	listing := calls.Listing{Rules: largeRules(t, 1), Revision: 1}
	_, small, seeds := smallLinkEntry(ctx, t, func() calls.Listing { return listing })
	p := newTestProxy(ctx, t)
	p.settings.Seeds, p.startedAt = seeds, time.Now()
	p.tasks.Go(p.pollConfig)
	defer p.tasks.Close()
	defer cancel()
	awaitVersion(t, p, small, 1)
}
