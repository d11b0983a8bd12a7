// Package logs writes structured log lines without ever blocking who logs: lines go
// through a bounded buffer, and what doesn't fit is dropped and counted.
package logs

import (
	"bufio"
	"io"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// lines bounds the buffer.
	lines = 2048
	// flushPeriod is the longest time that a line stays in the process.
	flushPeriod = 100 * time.Millisecond
	// blockSize is the size of a write in bytes.
	blockSize = 16 << 10
)

// Writer is a bounded, asynchronous writer. Use NewWriter.
type Writer struct {
	out     io.Writer
	queue   chan []byte
	stop    chan struct{}
	done    chan struct{}
	dropped atomic.Int64
}

// NewWriter returns a writer to w and a function that writes what is buffered and ends it.
func NewWriter(w io.Writer) (o *Writer, stop func()) {
	o = &Writer{out: w, queue: make(chan []byte, lines), stop: make(chan struct{}), done: make(chan struct{})}
	go o.run()
	return o, func() {
		close(o.stop)
		<-o.done
	}
}

// Write buffers a line; it never blocks and never fails.
func (o *Writer) Write(b []byte) (int, error) {
	select {
	case o.queue <- append([]byte(nil), b...):
	default:
		o.dropped.Add(1)
	}
	return len(b), nil
}

// Dropped returns the number of lines that were dropped.
func (o *Writer) Dropped() int64 { return o.dropped.Load() }

func (o *Writer) run() {
	defer close(o.done)
	w := bufio.NewWriterSize(o.out, blockSize)
	t := time.NewTicker(flushPeriod)
	defer t.Stop()
	for {
		select {
		case b := <-o.queue:
			_, _ = w.Write(b)
		case <-t.C:
			_ = w.Flush()
		case <-o.stop:
			o.drain(w)
			return
		}
	}
}

// drain writes what is buffered.
func (o *Writer) drain(w *bufio.Writer) {
	for {
		select {
		case b := <-o.queue:
			_, _ = w.Write(b)
		default:
			_ = w.Flush()
			return
		}
	}
}

// New returns a JSON log that names the VM in each line.
func New(w io.Writer, level logrus.Level, vm string) logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(w)
	l.SetLevel(level)
	l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	return l.WithField("vm", vm)
}
