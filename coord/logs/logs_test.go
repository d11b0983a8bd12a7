package logs

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"
)

// TestFullBufferDropsAndCounts writes to a reader that takes nothing: the writer must
// not block, and must count what it lost.
func TestFullBufferDropsAndCounts(t *testing.T) {
	r, w := io.Pipe()
	o, stop := NewWriter(w)
	line := []byte(strings.Repeat("x", blockSize))
	for range 3 * lines {
		_, _ = o.Write(line)
	}
	if o.Dropped() < lines {
		t.Errorf("%d lines dropped of %d", o.Dropped(), 3*lines)
	}
	_ = r.Close()
	stop()
}

func TestLinesAreWhole(t *testing.T) {
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
