// Package logs writes structured log lines. Its Writer never blocks the caller: lines go
// through a bounded queue, and lines that arrive while it is full are dropped and counted.
package logs

import (
	"bufio"
	"io"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// maxQueuedLines is the capacity of the queue, in lines.
	maxQueuedLines = 2048
	// flushInterval limits how long a written line stays in the output buffer.
	flushInterval = 100 * time.Millisecond
	// outputBufferBytes is the size of the buffer in front of the output, in bytes.
	outputBufferBytes = 16 << 10
)

// Writer is an io.Writer that queues lines and writes them to the output in a goroutine of
// its own. It is created by NewWriter and is safe for concurrent use.
type Writer struct {
	out     io.Writer
	queue   chan []byte
	stop    chan struct{}
	done    chan struct{}
	dropped atomic.Int64
}

// NewWriter returns a Writer for the output out, and a function that writes the queued
// lines to out and stops the Writer's goroutine. The function may be called only once.
func NewWriter(out io.Writer) (w *Writer, stop func()) {
	w = &Writer{out: out, queue: make(chan []byte, maxQueuedLines), stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w, func() {
		close(w.stop)
		<-w.done
	}
}

// Write queues a copy of one line, or drops the line when the queue is full. It never
// blocks, and always returns len(b) and a nil error.
func (w *Writer) Write(b []byte) (int, error) {
	select {
	case w.queue <- append([]byte(nil), b...):
	default:
		w.dropped.Add(1)
	}
	return len(b), nil
}

// Dropped returns the number of lines dropped so far because the queue was full.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// run copies queued lines to the output until the Writer is stopped. Errors of the output
// are ignored, as there is no other place to report them.
func (w *Writer) run() {
	defer close(w.done)
	buf := bufio.NewWriterSize(w.out, outputBufferBytes)
	t := time.NewTicker(flushInterval)
	defer t.Stop()
	for {
		select {
		case b := <-w.queue:
			_, _ = buf.Write(b)
		case <-t.C:
			_ = buf.Flush()
		case <-w.stop:
			w.drain(buf)
			return
		}
	}
}

// drain writes the lines that are still queued and flushes buf.
func (w *Writer) drain(buf *bufio.Writer) {
	for {
		select {
		case b := <-w.queue:
			_, _ = buf.Write(b)
		default:
			_ = buf.Flush()
			return
		}
	}
}

// New returns a logger that writes JSON lines to w, each with the name of the VM in the
// field "vm", and omits messages below the level. Logging may block unless w is a Writer.
func New(w io.Writer, level logrus.Level, vm string) logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(w)
	l.SetLevel(level)
	l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	return l.WithField("vm", vm)
}
