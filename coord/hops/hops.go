// Package hops removes hop-by-hop headers, the HTTP headers that apply to a single
// connection and that a proxy must not forward.
package hops

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHopHeaders are the headers that are removed whether or not the Connection header lists
// them: those of RFC 9110, section 7.6.1, and of the older list in RFC 2616, section 13.5.1.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Strip removes from h the hop-by-hop headers and each header that its Connection header lists.
func Strip(h http.Header) {
	for _, v := range h.Values("Connection") {
		for _, n := range strings.Split(v, ",") {
			h.Del(textproto.TrimString(n))
		}
	}
	for _, n := range hopByHopHeaders {
		h.Del(n)
	}
}
