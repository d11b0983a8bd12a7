package stand

import (
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestCacheEventsAreLateAndHaveGaps(t *testing.T) {
	c := newCache(4, 1)
	now := time.Unix(0, 0)
	hits := []int64{c.use(now, "aaaabbbb"), c.use(now, "aaaabbbb"), c.use(now, "aaaacccc")}
	if diff := cmp.Diff([]int64{0, 2, 1}, hits); diff != "" {
		t.Errorf("cached tokens (-want +got):\n%s", diff)
	}
	if n := len(c.published(now, 0)); n != 0 {
		t.Errorf("%d events are known at once, want none", n)
	}
	for i := range 400 {
		c.use(now, strings.Repeat(string(rune('a'+i%26)), 4*(1+i/26)))
	}
	got := uint64(len(c.published(now.Add(eventLag), 0)))
	if got == 0 || got >= c.serial {
		t.Errorf("%d of %d events are published, want some gaps", got, c.serial)
	}
}

func TestWeightsAreGivenOutAtTheRate(t *testing.T) {
	w := NewWeights(3*partBytes, 1<<40)
	s := httptest.NewServer(w.Handler())
	defer s.Close()
	a, err := s.Client().Get(s.URL + "/v1/weights/m")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = a.Body.Close() }()
	n, err := io.Copy(io.Discard, a.Body)
	if err != nil || n != 3*partBytes || w.Read() != n {
		t.Errorf("%d bytes, %v; %d counted, want %d", n, err, w.Read(), 3*partBytes)
	}
	slow := NewWeights(1, 1000)
	first, second := slow.turn(500), slow.turn(500)
	if d := second.Sub(first); d != 500*time.Millisecond {
		t.Errorf("the second part comes %v after the first, want 500ms", d)
	}
}
