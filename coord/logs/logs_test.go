package logs

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"
)

// TestFullQueueDropsAndCounts writes to a pipe that nobody reads. Once the queue is full,
// the writer must drop and count lines instead of blocking the caller.
func TestFullQueueDropsAndCounts(t *testing.T) {
	r, w := io.Pipe()
	o, stop := NewWriter(w)
	line := []byte(strings.Repeat("x", outputBufferBytes))
	for range 3 * maxQueuedLines {
		_, _ = o.Write(line)
	}
	if o.Dropped() < maxQueuedLines {
		t.Errorf("%d of %d lines dropped, want at least a third", o.Dropped(), 3*maxQueuedLines)
	}
	_ = r.Close()
	stop()
}

// TestStopFlushesQueuedLine checks that stopping the writer flushes a queued line to the
// output with all its fields.
func TestStopFlushesQueuedLine(t *testing.T) {
	var b bytes.Buffer
	o, stop := NewWriter(&b)
	New(o, logrus.InfoLevel, "vm-1").WithField("event", "x").Info("y")
	stop()
	if d := cmp.Diff(1, strings.Count(b.String(), "\n")); d != "" {
		t.Errorf("lines (-want +got):\n%s", d)
	}
	for _, want := range []string{`"vm":"vm-1"`, `"event":"x"`} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("%s lacks %s", b.String(), want)
		}
	}
}
