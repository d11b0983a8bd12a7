// Package intake bounds what the callers of a process make it hold: their connections, and the memory of heads, bodies,
// bytes that have arrived and aren't read yet, and answers that aren't taken.
//
// It answers callers that connect in crowds, send large bodies that stop short of their end, heads without an end or
// nothing at all, and stay. A limit for each request doesn't help against them; what counts is the sum over all connections,
// and who gives way once it is used up. A Table decides that, without I/O: connections that hold much and bring nothing go
// first, so that there is room for others while the crowd stays. A Guard applies the decisions to the connections of a
// listener. The limits follow from the memory and the descriptors of the process.
package intake

const (
	// memoryRatio is the part of the process's memory that callers may make it hold. The rest is for the process's own
	// state, and for memory that is no longer used and not collected yet.
	memoryRatio = 0.4
	// largeRatio is the part of Limits.MemoryBytes up to which requests of more than smallBytes are taken. The rest is left
	// to small ones.
	largeRatio = 0.75
	// connMemoryRatio is the part of Limits.MemoryBytes that connections may use which hold nothing.
	connMemoryRatio = 0.5
	// connFileRatio is the part of the process's sockets that connections of callers may use, and upstreamFileRatio that of
	// connections to upstreams. The rest is for other processes of the system and for connections that are being closed.
	connFileRatio     = 1.0 / 3
	upstreamFileRatio = 0.4
	// reservedFiles is the number of descriptors that aren't for sockets.
	reservedFiles = 200
	// minConns and minMemoryBytes are the least limits, for settings that leave nothing.
	minConns       = 16
	minMemoryBytes = 4 << 20
	// defaultMemoryBytes and defaultFiles stand for settings that don't state them.
	defaultMemoryBytes = 512 << 20
	defaultFiles       = 8192
)

// Sizes that count towards Limits.MemoryBytes.
const (
	// connBytes is the memory of an open connection: its goroutine, its buffers and its state.
	connBytes = 24 << 10
	// requestBytes is the memory of a request that is being served, without its head and body.
	requestBytes = 24 << 10
	// headByteFactor and headLineBytes are the memory of a head for each byte and line: a header is parsed into a map, kept
	// and copied for each send.
	headByteFactor = 3
	headLineBytes  = 256
	// smallBytes is the most that a small request holds.
	smallBytes = 64<<10 + requestBytes
)

// Limits bound what callers make a process hold.
type Limits struct {
	MemoryBytes int64
	// Conns is the number of open connections.
	Conns int
	// UpstreamConns is the number of connections to upstreams that requests of callers may use.
	UpstreamConns int
}

// LimitsFor returns the limits of a process with an amount of memory in bytes and a number of file descriptors; 0 for either
// if it isn't known.
func LimitsFor(memoryBytes int64, files int) Limits {
	if memoryBytes <= 0 {
		memoryBytes = defaultMemoryBytes
	}
	if files <= 0 {
		files = defaultFiles
	}
	l := Limits{MemoryBytes: max(minMemoryBytes, int64(memoryRatio*float64(memoryBytes)))}
	byMemory := int(connMemoryRatio * float64(l.MemoryBytes) / connBytes)
	sockets := float64(files - reservedFiles)
	l.Conns = max(minConns, min(byMemory, int(connFileRatio*sockets)))
	l.UpstreamConns = max(minConns, int(upstreamFileRatio*sockets))
	return l
}

// largeBytes is the most memory that is held if a request is to be taken which isn't small.
func (l Limits) largeBytes() int64 { return int64(largeRatio * float64(l.MemoryBytes)) }

// maxBodyBytes returns the size of the largest body that can be held.
func (l Limits) maxBodyBytes() int64 { return l.largeBytes() - connBytes - smallBytes }

// HeadBytes returns the memory of a head of some size and number of lines.
func HeadBytes(size, lines int) int64 {
	return headByteFactor*int64(size) + headLineBytes*int64(lines)
}
