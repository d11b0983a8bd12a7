package script

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// floodGap is the time between two requests of a flood.
const floodGap = 20 * time.Millisecond

// floodCmd makes N plain calls through all entries in turn, and checks that no more than
// RATE a second and BURST are served, and that the others are told when to come back.
func floodCmd(s *testscript.TestScript, neg bool, args []string) {
	needs(s, neg, args, 4, "flood N KEY RATE BURST")
	var v [3]int
	for i, a := range []string{args[0], args[2], args[3]} {
		n, err := strconv.Atoi(a)
		s.Check(err)
		v[i] = n
	}
	n, rate, burst := v[0], v[1], v[2]
	begun := time.Now()
	served, other := of(s).flood(n, args[1])
	most := float64(burst) + float64(rate)*time.Since(begun).Seconds()
	_, _ = fmt.Fprintf(s.Stdout(), "%d of %d served, at most %.1f\n", served, n, most)
	if float64(served) > most || served == 0 || other > 0 {
		s.Fatalf("%d served, want 1 to %.1f; %d neither served nor truly refused", served, most, other)
	}
}

func (f *procs) flood(n int, key string) (served, other int) {
	var entries []string
	for _, name := range f.order {
		if f.callers[name] != "" {
			entries = append(entries, name)
		}
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range n {
		time.Sleep(floodGap)
		wg.Go(func() {
			r := f.request(question{
				entry: entries[i%len(entries)], key: key, method: "GET", path: fmt.Sprintf("/decisions/flood%d", i),
			})
			mu.Lock()
			defer mu.Unlock()
			switch r.status {
			case http.StatusOK:
				served++
			case http.StatusTooManyRequests:
				if r.header.Get("Retry-After") == "" || !strings.Contains(r.body, `"ran":"no"`) {
					other++
				}
			default:
				other++
			}
		})
	}
	wg.Wait()
	return served, other
}
