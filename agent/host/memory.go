package host

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"cranberrypoint.example/coord/fault"
	"cranberrypoint.example/coord/intake"
	"cranberrypoint.example/coord/wire"
	"github.com/rotisserie/eris"
)

const (
	// openCopies is how many times a prompt is in memory while its run is queued or runs: the message and the buffer in which it
	// arrived, which may be twice as large.
	openCopies = 3
	// runBytes is the memory of a run besides its prompt and body.
	runBytes = 32 << 10
	// headerBytes is the memory of a header field besides its name and value.
	headerBytes = 128
	// replayRatio is the part of the memory for runs that answers for duplicates may use in addition.
	replayRatio = 0.25
)

// errNoMemory means that a part of a body can't be held.
var errNoMemory = eris.New("the agent holds as much for its runs as it may")

// memory bounds what the runs of entries make this agent hold: their prompts, and bodies that the upstream hasn't read.
type memory struct {
	limit int64
	// maxStreams bounds the streams with a run: each has a connection, and may need another one to the upstream.
	maxStreams int

	mu      sync.Mutex
	held    int64
	streams int
}

// open takes the memory for a stream with a run. It returns false if there is none, or if there are as many as may be.
func (m *memory) open(n int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.streams >= m.maxStreams || m.held+n > m.limit {
		return false
	}
	m.streams++
	m.held += n
	return true
}

// close returns the memory that open has taken.
func (m *memory) close(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.streams--
	m.held -= n
}

// take takes some bytes. It returns false, and takes none, if they exceed the limit.
func (m *memory) take(n int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.held+n > m.limit {
		return false
	}
	m.held += n
	return true
}

// release returns some bytes.
func (m *memory) release(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.held -= n
}

// load returns the bytes that are taken.
func (m *memory) load() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held
}

// openBytes returns the memory for a run, and the part of it that is for its body; 0 if the size of the body isn't known.
func openBytes(o *wire.Open) (total, body int64) {
	total = runBytes + openCopies*int64(len(o.Prompt))
	for _, h := range o.Headers {
		total += int64(len(h.Name)+len(h.Value)) + headerBytes
		if strings.EqualFold(h.Name, "Content-Length") {
			if n, err := strconv.ParseInt(h.Value, 10, 64); err == nil && n > 0 {
				body = n
			}
		}
	}
	return total + body, body
}

// noMemoryReply returns the refusal of a run for which there is no memory.
func noMemoryReply() *wire.RunReply {
	err := fault.NotRun(fault.NoRoom, "%v", errNoMemory)
	return &wire.RunReply{Kind: &wire.RunReply_Fail{Fail: &wire.Fail{
		Code: string(err.Code), Text: err.Text, Ran: err.Ran, RetryAfterMicros: int64(intake.RetryAfter / time.Microsecond),
	}}}
}
