package poison

import (
	"strings"
	"time"
)

// Key names what may be at fault when upstreams end: a request, or a part of prompts. Use RequestKey, PartKey
// or Keys.
type Key string

// requestPrefix begins the key of a request, escapePrefix that of a part whose id could be taken for one.
const (
	requestPrefix = "request:"
	escapePrefix  = "part:"
)

// RequestKey returns the key of a request with a fingerprint; see Fingerprint.
func RequestKey(fingerprint string) Key { return Key(requestPrefix + fingerprint) }

// PartKey returns the key of a part of prompts, by the id that the caller has given it.
func PartKey(id string) Key {
	if strings.HasPrefix(id, requestPrefix) || strings.HasPrefix(id, escapePrefix) {
		return Key(escapePrefix + id)
	}
	return Key(id)
}

// Keys returns the keys of a request: that of the request itself first, then those of the parts of its prompt
// that others may share.
func Keys(fingerprint string, parts []string) []Key {
	l := []Key{RequestKey(fingerprint)}
	for _, p := range parts {
		l = append(l, PartKey(p))
	}
	return l
}

// String describes what the key names.
func (k Key) String() string {
	if k.isRequest() {
		return strings.Replace(string(k), requestPrefix, "the request ", 1)
	}
	return "part " + strings.TrimPrefix(string(k), escapePrefix) + " of the prompt"
}

func (k Key) isRequest() bool { return strings.HasPrefix(string(k), requestPrefix) }

// coincidence returns the time within which ends of upstreams under the key may have one cause.
func (k Key) coincidence() time.Duration {
	if k.isRequest() {
		return 0
	}
	return coincidence
}
