package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
)

// fingerprintBytes is the length of the hash in a fingerprint: long enough that nobody finds a second request
// with the fingerprint of another one.
const fingerprintBytes = 16

// Fingerprint identifies a request by what its upstream works on, so that it is the same each time that a
// caller sends the request: the workspace, the method, the host, the target, which is the path with the
// query, and the body. It is a hash in hex.
func Fingerprint(workspace, method, host, target string, body ...[]byte) string {
	h := sha256.New()
	// Writes to a hash never fail. With its length before each text, no two requests are hashed alike.
	for _, s := range []string{workspace, method, host, target} {
		_ = binary.Write(h, binary.BigEndian, uint64(len(s)))
		_, _ = io.WriteString(h, s)
	}
	for _, b := range body {
		_, _ = h.Write(b)
	}
	return hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
}
