package crowd

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// measurePeriod is the time between two measurements of a process.
const measurePeriod = 10 * time.Millisecond

// Usage is what a process holds.
type Usage struct {
	// MemoryBytes is its memory that isn't backed by a file, with what its connections have received and it hasn't read.
	MemoryBytes int64
	// UnreadBytes is the second part of MemoryBytes.
	UnreadBytes int64
	// Sockets is the number of its open sockets.
	Sockets int
}

// Watch measures a process until the function that it returns is called, which returns the peak of each figure.
func Watch(pid int) (stop func() Usage) {
	var peak Usage
	done := make(chan struct{})
	var wait sync.WaitGroup
	wait.Go(func() {
		for {
			u := Measure(pid)
			peak.MemoryBytes = max(peak.MemoryBytes, u.MemoryBytes)
			peak.UnreadBytes = max(peak.UnreadBytes, u.UnreadBytes)
			peak.Sockets = max(peak.Sockets, u.Sockets)
			select {
			case <-time.After(measurePeriod):
			case <-done:
				return
			}
		}
	})
	return func() Usage {
		close(done)
		wait.Wait()
		return peak
	}
}

// Measure returns what a process holds now; zero if it has ended.
func Measure(pid int) (u Usage) {
	sockets := socketsOf(pid)
	u.Sockets = len(sockets)
	u.UnreadBytes = unreadBytes(pid, sockets)
	u.MemoryBytes = anonymousBytes(pid) + u.UnreadBytes
	return u
}

// anonymousBytes returns the memory of a process that isn't backed by a file.
func anonymousBytes(pid int) int64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for l := range strings.Lines(string(b)) {
		if v, ok := strings.CutPrefix(l, "RssAnon:"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(v)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// socketsOf returns the inodes of the sockets that a process has open.
func socketsOf(pid int) map[string]bool {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	files, err := os.ReadDir(dir)
	if err != nil {
		return nil
	}
	s := map[string]bool{}
	for _, f := range files {
		l, err := os.Readlink(dir + "/" + f.Name())
		if v, ok := strings.CutPrefix(l, "socket:["); err == nil && ok {
			s[strings.TrimSuffix(v, "]")] = true
		}
	}
	return s
}

// Columns of the kernel's table of TCP sockets, and the state of one that listens, whose receive queue counts
// connections.
const (
	columnState  = 3
	columnQueues = 4
	columnInode  = 9
	stateListen  = "0A"
)

// unreadBytes returns the bytes that wait in the receive queues of the sockets.
func unreadBytes(pid int, sockets map[string]bool) (n int64) {
	for _, table := range []string{"tcp", "tcp6"} {
		b, err := os.ReadFile(fmt.Sprintf("/proc/%d/net/%s", pid, table))
		if err != nil {
			continue
		}
		for l := range strings.Lines(string(b)) {
			f := strings.Fields(l)
			if len(f) <= columnInode || f[columnState] == stateListen || !sockets[f[columnInode]] {
				continue
			}
			_, unread, _ := strings.Cut(f[columnQueues], ":")
			v, _ := strconv.ParseInt(unread, 16, 64)
			n += v
		}
	}
	return n
}
