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
	// maxConcurrentFetches limits the number of processes queried at the same time.
	maxConcurrentFetches = 32
)

// targets is the value of the -ops flag: the addresses at which processes serve their
// operations endpoints (/status and /timeline), as a comma-separated list of IP:PORT.
type targets struct{ list string }

func (t *targets) register(f *flag.FlagSet) {
	f.StringVar(&t.list, "ops", "", "comma-separated IP:PORT addresses of the processes' operations endpoints (required)")
}

// addresses returns the listed addresses without surrounding spaces or empty elements.
func (t *targets) addresses() []string {
	var r []string
	for _, a := range strings.Split(t.list, ",") {
		if a = strings.TrimSpace(a); a != "" {
			r = append(r, a)
		}
	}
	return r
}

// validate returns an error if the list is empty or an element is not an IP address and port.
func (t *targets) validate() error {
	as := t.addresses()
	if len(as) == 0 {
		return conf.Invalid("ops", t.list, "at least one IP address and port")
	}
	for _, a := range as {
		if !conf.IsAddress(a) {
			return conf.Invalid("ops", a, "an IP address and a port such as 10.0.0.5:9090")
		}
	}
	return nil
}

// response is the decoded response of the process at address, or the error of the query.
type response[T any] struct {
	address string
	value   T
	err     error
}

// fetchAll sends a GET request for path to each address in parallel and returns one response
// per address, in the order of addresses.
func fetchAll[T any](ctx context.Context, addresses []string, path string) []response[T] {
	r := make([]response[T], len(addresses))
	slots := make(chan struct{}, maxConcurrentFetches)
	var wg sync.WaitGroup
	for i, a := range addresses {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			v, err := fetch[T](ctx, a, path)
			r[i] = response[T]{a, v, err}
		})
	}
	wg.Wait()
	return r
}

// fetch sends a GET request for path to address and decodes the JSON response body. It returns
// an error for any status other than 200.
func fetch[T any](ctx context.Context, address, path string) (v T, err error) {
	defer fault.Annotate(&err, "query %s", address)
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return v, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return v, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return v, eris.Errorf("unexpected HTTP status %s", resp.Status)
	}
	return v, json.NewDecoder(resp.Body).Decode(&v)
}

// requestQuery returns the query string that limits a timeline to the client request with an
// ID. It returns "", which selects all requests, if the ID is empty.
func requestQuery(id string) string {
	if id == "" {
		return ""
	}
	return "?request=" + url.QueryEscape(id)
}
