// Package hops removes the HTTP headers that belong to one connection.
package hops

import (
	"net/http"
	"net/textproto"
	"strings"
)

// headers belong to one connection (RFC 9110, section 7.6.1).
var headers = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Strip removes the headers that belong to one connection, and those that the
// Connection header names.
func Strip(h http.Header) {
	for _, v := range h.Values("Connection") {
		for _, n := range strings.Split(v, ",") {
			h.Del(textproto.TrimString(n))
		}
	}
	for _, n := range headers {
		h.Del(n)
	}
}
