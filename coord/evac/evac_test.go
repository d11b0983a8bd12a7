package evac

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var start = time.Unix(1000, 0)

// at returns the list of a position that was read some time after the start.
func at(d time.Duration, epoch, revision uint64, dataCentres ...string) List {
	return List{Epoch: epoch, Revision: revision, ReadAt: start.Add(d), DataCentres: dataCentres}
}

// TestListsAreOrdered replays lists that arrive late and crosswise: an older one neither brings an
// evacuation back nor ends one, and evacuations in quick succession all count.
func TestListsAreOrdered(t *testing.T) {
	e := New()
	for i, c := range []struct {
		list List
		want Change
	}{
		{at(0, 1, 5), Change{}},
		{at(1, 1, 7, "east"), Change{Began: []string{"east"}}},
		{at(0, 1, 5), Change{}},
		{at(2, 1, 9, "east", "west"), Change{Began: []string{"west"}}},
		{at(3, 1, 9, "east"), Change{Ended: []string{"west"}}},
		{at(2, 1, 9, "east", "west"), Change{}},
		{at(4, 1, 11, "north"), Change{Began: []string{"north"}, Ended: []string{"east"}}},
		{at(9, 1, 10, "east"), Change{}},
		{at(5, 1, 12), Change{Ended: []string{"north"}}},
	} {
		if d := cmp.Diff(c.want, e.Update(c.list.ReadAt, c.list)); d != "" {
			t.Errorf("list %d: change (-want +got):\n%s", i, d)
		}
	}
}

// TestRestoredStoreKeepsEvacuation checks that an evacuation which a restored store has lost stays
// until the operator has had time to write it again, and one that is written again goes on.
func TestRestoredStoreKeepsEvacuation(t *testing.T) {
	e := New()
	e.Update(start, at(0, 1, 50, "east", "west"))
	for i, c := range []struct {
		list List
		want []string
	}{
		{at(time.Second, 2, 3), []string{"east", "west"}},
		{at(time.Second+restoreGrace-1, 2, 4, "west"), []string{"east", "west"}},
		{at(time.Second+restoreGrace, 2, 5, "west"), []string{"west"}},
		{at(2*time.Second+restoreGrace, 2, 6), nil},
	} {
		e.Update(c.list.ReadAt, c.list)
		if d := cmp.Diff(c.want, e.DataCentres()); d != "" {
			t.Errorf("list %d: evacuated (-want +got):\n%s", i, d)
		}
	}
}

// TestGossip checks that a process which doesn't read the store learns what began and ended, through
// another one, and that absurd reports change nothing.
func TestGossip(t *testing.T) {
	reader, relay, agent := New(), New(), New()
	if m := reader.Report(start); m != nil {
		t.Errorf("reported %v although nothing was ever evacuated", m)
	}
	for i, l := range []List{at(0, 1, 5, "east"), at(time.Second, 1, 8, "west"), at(2*time.Second, 1, 9)} {
		reader.Update(l.ReadAt, l)
		now := l.ReadAt.Add(time.Minute)
		relay.Merge(now, reader.Report(now))
		agent.Merge(now, relay.Report(now))
		forged := reader.Report(now)
		forged.AgeMicros, forged.Revision = -1, 1<<40
		agent.Merge(now, forged)
		agent.Merge(now, nil)
		if d := cmp.Diff(reader.DataCentres(), agent.DataCentres()); d != "" {
			t.Errorf("list %d: evacuated (-want +got):\n%s", i, d)
		}
	}
}

// TestHugeListIsBounded checks that a list of more data centres than any deployment has is cut off.
func TestHugeListIsBounded(t *testing.T) {
	e := New()
	e.Update(start, at(0, 1, 1, make([]string, 3*maxDataCentres)...))
	l := at(1, 1, 2)
	for i := range 3 * maxDataCentres {
		l.DataCentres = append(l.DataCentres, time.Duration(i).String())
	}
	e.Update(l.ReadAt, l)
	if n := len(e.DataCentres()); n != maxDataCentres {
		t.Errorf("%d data centres are evacuated, want %d", n, maxDataCentres)
	}
}

// TestReturnIsGradual replays a data centre that is taken back under load: its three idle upstreams
// stand beside three busy ones, and entries choose the idlest that takes part, knowing nothing of
// each other's choices. At first it must get less than half of the choices, later more, and all once
// its upstreams take part like the others.
func TestReturnIsGradual(t *testing.T) {
	const choices = 10000
	r := rand.New(rand.NewPCG(1, 1))
	for _, c := range []struct {
		after time.Duration
		most  float64
		least float64
	}{{0, 0.35, 0.2}, {rampTime / 2, 0.95, 0.8}, {rampTime, 1, 1}, {time.Hour, 1, 1}, {-time.Second, 1, 1}} {
		n := 0
		for range choices {
			for range 3 {
				if r.Float64() < Share(start.Add(c.after), start) {
					n++
					break
				}
			}
		}
		if got := float64(n) / choices; got > c.most || got < c.least {
			t.Errorf("%s after the return it gets %g of the choices, want %g to %g", c.after, got, c.least, c.most)
		}
	}
}
