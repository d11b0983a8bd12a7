package world_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"testing"

	"cranberrypoint.example/coord/fake"
	"cranberrypoint.example/coord/frame"
	"cranberrypoint.example/local/stand"
	"cranberrypoint.example/local/world"
	"github.com/google/go-cmp/cmp"
)

const (
	// uploadBytes is more than the kernel takes of a body that its reader leaves unread.
	uploadBytes = 12 << 20
	// chunkBytes is the size of a chunk of a body.
	chunkBytes = 16 << 10
	// uploadTries is how often an upload races with the end of its answer.
	uploadTries = 20
)

// startUploads starts a world that takes bodies of uploadBytes.
func startUploads(t *testing.T) *world.World {
	p := world.Example("")
	p.Settings = bytes.Replace(p.Settings, []byte("path: /decisions\n"), fmt.Appendf(nil, "path: /decisions\n    max-body: %d\n", uploadBytes), 1)
	return startOf(t, p)
}

// upload sends a request with a large body and reads its answer.
func upload(t *testing.T, w *world.World) raw {
	t.Helper()
	c := dialEntry(t, w)
	defer func() { _ = c.Close() }()
	_, err := fmt.Fprintf(c, "POST /decisions/upload HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nTransfer-Encoding: chunked\r\n\r\n", world.ExampleKey)
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", chunkBytes, make([]byte, chunkBytes))
		for n := 0; n < uploadBytes && err == nil; n += chunkBytes {
			_, err = c.Write(chunk)
		}
		_, _ = io.WriteString(c, "0\r\n\r\n")
	}()
	return readRaw(c)
}

// TestResetBesideUploadLooksBrokenOff guards against an answer without a length that a plain service resets while the
// request is still being written to it, and that reaches its caller, through the service's agent, as a complete one.
func TestResetBesideUploadLooksBrokenOff(t *testing.T) {
	w := startUploads(t)
	for _, missing := range []int{0, 3, len(stand.EarlyBody)} {
		setEnding(w, &fake.Ending{Framing: frame.Connection, Missing: missing, Reset: true, Early: true})
		statuses := map[int]int{}
		complete := 0
		for range uploadTries {
			a := upload(t, w)
			statuses[a.status]++
			if a.complete && a.status == http.StatusOK {
				complete++
			}
		}
		t.Logf("statuses: %v", statuses)
		if complete > 0 {
			t.Errorf("%d of %d answers without their last %d bytes look complete", complete, uploadTries, missing)
		}
	}
}

// TestEarlyPlainAnswerReachesCaller checks that answers which come before the request is written, and end as they should,
// reach their callers whole.
func TestEarlyPlainAnswerReachesCaller(t *testing.T) {
	w := startUploads(t)
	for _, f := range []frame.Framing{frame.Length, frame.Chunked, frame.Connection} {
		setEnding(w, &fake.Ending{Framing: f, Early: true})
		for range uploadTries {
			if d := cmp.Diff(raw{http.StatusOK, stand.EarlyBody, true}, upload(t, w), cmp.AllowUnexported(raw{})); d != "" {
				t.Errorf("%s (-want +got):\n%s", f, d)
			}
		}
	}
}
