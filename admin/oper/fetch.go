package oper

import (
	"context"
	"encoding/json"
	"flag"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"cranberrypoint.example/coord/conf"
	"cranberrypoint.example/coord/fault"
	"github.com/rotisserie/eris"
)

const (
	fetchTimeout = 5 * time.Second
	// maxFetches bounds the processes that are asked at a time.
	maxFetches = 32
)

// targets are the operators' addresses of processes.
type targets struct{ list string }

func (t *targets) register(f *flag.FlagSet) {
	f.StringVar(&t.list, "ops", "", "operators' addresses of the processes, separated by commas (required)")
}

func (t *targets) addresses() []string {
	var r []string
	for _, a := range strings.Split(t.list, ",") {
		if a = strings.TrimSpace(a); a != "" {
			r = append(r, a)
		}
	}
	return r
}

func (t *targets) check() error {
	as := t.addresses()
	if len(as) == 0 {
		return conf.Invalid("ops", t.list, "at least one IP address and port")
	}
	for _, a := range as {
		if !conf.IsAddress(a) {
			return conf.Invalid("ops", a, "an IP address and a port, such as 10.0.0.5:9090,")
		}
	}
	return nil
}

// fetched is what one process answered.
type fetched[T any] struct {
	address string
	value   T
	err     error
}

// fetchAll asks all processes for a path.
func fetchAll[T any](ctx context.Context, addresses []string, path string) []fetched[T] {
	r := make([]fetched[T], len(addresses))
	slots := make(chan struct{}, maxFetches)
	var wg sync.WaitGroup
	for i, a := range addresses {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			v, err := fetch[T](ctx, a, path)
			r[i] = fetched[T]{a, v, err}
		})
	}
	wg.Wait()
	return r
}

func fetch[T any](ctx context.Context, address, path string) (v T, err error) {
	defer fault.Annotate(&err, "ask %s", address)
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return v, err
	}
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return v, err
	}
	defer func() { _ = a.Body.Close() }()
	if a.StatusCode != http.StatusOK {
		return v, eris.Errorf("the process answered %s", a.Status)
	}
	return v, json.NewDecoder(a.Body).Decode(&v)
}

func query(request string) string {
	if request == "" {
		return ""
	}
	return "?request=" + url.QueryEscape(request)
}
