package edge

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"cranberrypoint.example/coord/hops"
	"cranberrypoint.example/coord/tree"
	"cranberrypoint.example/coord/wire"
)

const bearer = "Bearer "

// presented returns the key that came with a request, or "".
func presented(q *http.Request) string {
	a := q.Header.Get("Authorization")
	if len(a) > len(bearer) && strings.EqualFold(a[:len(bearer)], bearer) {
		return strings.TrimSpace(a[len(bearer):])
	}
	return ""
}

// keyHash returns the hash of the key that came with a request, or "".
func keyHash(q *http.Request) string {
	k := presented(q)
	if k == "" {
		return ""
	}
	return tree.HashKey(k)
}

// dropped are the headers that no upstream sees, besides those of one connection: they
// carry keys, or speak of the body's transfer to this entry.
var dropped = []string{"Authorization", "X-Api-Key", "Api-Key", "Expect"}

// cleanHeaders returns the headers that the upstream is given. The size of the body is
// in bytes, or below 0 if it is not known.
func cleanHeaders(q *http.Request, key string, size int64) []*wire.Header {
	h := q.Header.Clone()
	hops.Strip(h)
	for _, n := range dropped {
		h.Del(n)
	}
	cleanCookies(h, q, key)
	h.Del("Content-Length")
	if size >= 0 {
		h.Set("Content-Length", strconv.FormatInt(size, 10))
	}
	var r []*wire.Header
	for n, vs := range h {
		for _, v := range vs {
			if !carries(v, key) {
				r = append(r, &wire.Header{Name: n, Value: v})
			}
		}
	}
	return r
}

// carries reports whether a value holds the key.
func carries(v, key string) bool {
	return key != "" && strings.Contains(v, key)
}

func cleanCookies(h http.Header, q *http.Request, key string) {
	h.Del("Cookie")
	var keep []string
	for _, c := range q.Cookies() {
		if v, err := url.QueryUnescape(c.Value); err == nil && !carries(v, key) && !carries(c.Value, key) {
			keep = append(keep, c.Name+"="+c.Value)
		}
	}
	if len(keep) > 0 {
		h.Set("Cookie", strings.Join(keep, "; "))
	}
}

// cleanPath returns the path and the query that the upstream is given.
func cleanPath(q *http.Request, key string) string {
	p := q.URL.EscapedPath()
	if q.URL.RawQuery == "" {
		return p
	}
	var keep []string
	for _, part := range strings.Split(q.URL.RawQuery, "&") {
		if v, err := url.QueryUnescape(part); err != nil || carries(v, key) {
			continue
		}
		keep = append(keep, part)
	}
	if len(keep) == 0 {
		return p
	}
	return p + "?" + strings.Join(keep, "&")
}
