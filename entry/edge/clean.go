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

const bearerPrefix = "Bearer "

// bearerKey returns the API key in the Authorization header, or "".
func bearerKey(q *http.Request) string {
	a := q.Header.Get("Authorization")
	if len(a) > len(bearerPrefix) && strings.EqualFold(a[:len(bearerPrefix)], bearerPrefix) {
		return strings.TrimSpace(a[len(bearerPrefix):])
	}
	return ""
}

// keyHash returns the hash of the API key in the Authorization header, or "".
func keyHash(q *http.Request) string {
	k := bearerKey(q)
	if k == "" {
		return ""
	}
	return tree.HashKey(k)
}

// strippedHeaders are the end-to-end headers that are not forwarded to upstreams: they
// carry keys, or control the transfer of the body to this process.
var strippedHeaders = []string{"Authorization", "X-Api-Key", "Api-Key", "Expect"}

// upstreamHeaders returns the headers to forward to the upstream: without hop-by-hop
// headers, strippedHeaders and values that contain the key. size is the size of the body
// in bytes, or negative if it is unknown.
func upstreamHeaders(q *http.Request, key string, size int64) []*wire.Header {
	h := q.Header.Clone()
	hops.Strip(h)
	for _, n := range strippedHeaders {
		h.Del(n)
	}
	filterCookies(h, q, key)
	h.Del("Content-Length")
	if size >= 0 {
		h.Set("Content-Length", strconv.FormatInt(size, 10))
	}
	var r []*wire.Header
	for n, vs := range h {
		for _, v := range vs {
			if !containsKey(v, key) {
				r = append(r, &wire.Header{Name: n, Value: v})
			}
		}
	}
	return r
}

// containsKey reports whether v contains the key.
func containsKey(v, key string) bool {
	return key != "" && strings.Contains(v, key)
}

// filterCookies sets the Cookie header of h to the cookies of q, except those whose value
// can't be URL-decoded and those whose value contains the key before or after decoding.
func filterCookies(h http.Header, q *http.Request, key string) {
	h.Del("Cookie")
	var keep []string
	for _, c := range q.Cookies() {
		if v, err := url.QueryUnescape(c.Value); err == nil && !containsKey(v, key) && !containsKey(c.Value, key) {
			keep = append(keep, c.Name+"="+c.Value)
		}
	}
	if len(keep) > 0 {
		h.Set("Cookie", strings.Join(keep, "; "))
	}
}

// upstreamPath returns the path and the query to forward to the upstream, without the
// query parameters that contain the key or can't be URL-decoded.
func upstreamPath(q *http.Request, key string) string {
	p := q.URL.EscapedPath()
	if q.URL.RawQuery == "" {
		return p
	}
	var keep []string
	for _, part := range strings.Split(q.URL.RawQuery, "&") {
		if v, err := url.QueryUnescape(part); err != nil || containsKey(v, key) {
			continue
		}
		keep = append(keep, part)
	}
	if len(keep) == 0 {
		return p
	}
	return p + "?" + strings.Join(keep, "&")
}
