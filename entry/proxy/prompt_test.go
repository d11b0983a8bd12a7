package proxy

import (
	"net"
	"testing"
	"time"

	"cranberrypoint.example/coord/calls"
	"cranberrypoint.example/coord/roster"
	"cranberrypoint.example/coord/upconn"
)

// freeCodec translates the request that frees a KV cache.
type freeCodec struct{ calls.Codec }

func (freeCodec) FreeRequest(calls.KVHandle) (method, path string) { return "DELETE", "/" }

// TestSilentEngineDoesNotHoldFree guards against a request to free a KV cache that waits for a silent
// engine for good, with its connection.
func TestSilentEngineDoesNotHoldFree(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	p := newTestProxy(t.Context(), t)
	p.codec = freeCodec{}
	var closePool func()
	p.conns, closePool = upconn.NewPool(nil)
	defer closePool()
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.freeKVCache(candidate{upstream: roster.Upstream{Address: l.Addr().String()}}, calls.KVHandle{})
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Error("the request still waits")
	}
}
