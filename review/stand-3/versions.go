package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	eventPause = 50 * time.Millisecond
	// eventBytes is the length of the text of an event.
	eventBytes = 1200
	// gapTime is how long a client waits for the next event: the longest of two seconds, four times the objective and eight times
	// the pause of the route.
	gapTime = 3600 * time.Millisecond
	// streamLimit is the time limit of a stream.
	streamLimit = 14 * time.Second
	// maxTries is how often a client sends a request for a stream: it repeats one once.
	maxTries = 2
	// versionRunners is the number of runners, of which one crashes at a time.
	versionRunners = 4
	// restartTime is how long a runner that has crashed is down.
	restartTime = 300 * time.Millisecond
	// crashedAgain is when a runner crashes after the first one's restart.
	crashedAgain = 2500 * time.Millisecond
	// storeDown is how long the store is down.
	storeDown = 4 * time.Second
	// versionTime is how long streams begin.
	versionTime = 6 * time.Second
	// maxJoined is how many streams may hold events from runners of two versions.
	maxJoined = 2
)

// versions holds which runner wrote which attempt, and what each stream consists of.
type versions struct {
	world *world
	// events is the number of events of a stream, and pause the time between the beginnings of two streams.
	events int
	pause  time.Duration

	mu sync.Mutex
	// versionOf holds the version of the runner that ran each attempt, by its request id.
	versionOf map[string]string
	// streams holds the attempts that brought events of each stream.
	streams map[string][]string
	resumed int
	ended   int
	// tries are the attempts, in the order in which they were sent.
	tries []*try
}

// try is an attempt of a client at a stream.
type try struct {
	// isResumed is true if the client had events before. hasEvent is true if the attempt brought one.
	isResumed, hasEvent bool
}

// newVersions starts some runners of version v1, and the entries.
func newVersions(w *world, count, events int, pause time.Duration) (x *versions, runners []*runner, err error) {
	x = &versions{world: w, events: events, pause: pause, versionOf: map[string]string{}, streams: map[string][]string{}}
	for i := range count {
		r, err := w.startRunner(fmt.Sprintf("i-%d", i+1), "v1", w.ip(101+i)+":0", x.serve)
		if err != nil {
			return nil, nil, err
		}
		runners = append(runners, r)
	}
	w.publishConfig()
	return x, runners, w.startEntries()
}

// playVersions plays the case in which a runner comes back under its id with another version while the store is down, and crashes
// again.
func playVersions(w *world) (verdict, error) {
	return playStoreDown(w, func(x *versions, others []*runner, restarted *runner) error {
		_, err := x.crash(restarted, restarted.version)
		return err
	})
}

// playStale plays the case in which a runner comes back under its id with another version while the store is down, and another one
// crashes.
func playStale(w *world) (verdict, error) {
	return playStoreDown(w, func(x *versions, others []*runner, restarted *runner) error {
		_, err := x.crash(others[0], others[0].version)
		return err
	})
}

// playStoreDown lets a runner come back with another version while the store is down, lets streams begin, and then lets a runner
// crash by breakOff.
func playStoreDown(w *world, breakOff func(x *versions, others []*runner, restarted *runner) error) (verdict, error) {
	x, runners, err := newVersions(w, versionRunners, 40, 20*time.Millisecond)
	if err != nil {
		return verdict{}, err
	}
	last := len(runners) - 1
	restarted := runners[last]
	if w.trouble {
		w.record.add("the store answers 503")
		w.store.setDown(true)
		time.AfterFunc(storeDown, func() {
			w.store.setDown(false)
			w.record.add("the store is back")
		})
		if restarted, err = x.crash(restarted, "v2"); err != nil {
			return verdict{}, err
		}
	}
	stop := x.beginStreams()
	time.Sleep(crashedAgain)
	if w.trouble {
		if err := breakOff(x, runners[:last], restarted); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(versionTime - crashedAgain)
	stop()
	return x.judge(), nil
}

// crash ends a runner and starts it again under its id with a version.
func (x *versions) crash(r *runner, version string) (*runner, error) {
	x.world.record.add("runner %s crashes", r.id)
	r.kill()
	time.Sleep(restartTime)
	return x.world.startRunner(r.id, version, r.address, x.serve)
}

// serve runs a stream from its beginning, or after the last event that its client has.
func (x *versions) serve(r *runner, c net.Conn, q *http.Request) bool {
	id := q.Header.Get(headerID)
	// The value is missing in a request that begins a stream.
	from, _ := strconv.Atoi(q.Header.Get(headerLastID))
	x.mu.Lock()
	x.versionOf[id] = r.version
	x.mu.Unlock()
	x.world.record.add("runner %s of version %s runs %s from event %d", r.id, r.version, id, from+1)
	if _, err := io.WriteString(c, r.head(id)+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return false
	}
	for n := from + 1; n <= x.events; n++ {
		time.Sleep(eventPause)
		if r.waitWhileDark() {
			return false
		}
		e := fmt.Sprintf("id: %d\ndata: %s %s\n\n", n, r.version, strings.Repeat("x", eventBytes))
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e); err != nil {
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// beginStreams begins streams until the function that it returns is called, which waits for their ends.
func (x *versions) beginStreams() (stop func()) {
	end := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() { x.begin(&clients, end) })
	return func() {
		close(end)
		clients.Wait()
	}
}

// begin begins streams at one entry after the other until the end.
func (x *versions) begin(clients *sync.WaitGroup, end <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-end:
			return
		case <-time.After(x.pause):
		}
		clients.Go(func() { x.stream(n) })
	}
}

// stream reads a stream, and goes on at the next entry after each break.
func (x *versions) stream(n int) {
	s := &reading{path: fmt.Sprintf("%s%d", streamPrefix, n)}
	for try := range maxTries {
		if try > 0 && s.first != "" {
			x.mu.Lock()
			x.resumed++
			x.mu.Unlock()
		}
		if x.attempt(s, x.world.entries[(n+try)%entryCount]) {
			return
		}
	}
}

// reading is what a client has of a stream.
type reading struct {
	path string
	// first is the id of the attempt that brought the first event.
	first string
	last  int
}

// attempt reads a stream at an entry, from its beginning or after the last event. It reports whether the stream has ended.
func (x *versions) attempt(s *reading, p *process) (ended bool) {
	id, before := newID(), s.last
	c, err := dial(p)
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	h := http.Header{}
	if s.first != "" {
		h[headerLastID], h[headerResumes] = []string{strconv.Itoa(s.last)}, []string{s.first}
	}
	x.world.record.add("client sends %s as %s to %s, after event %d", s.path, id, p.ip, s.last)
	t := &try{isResumed: s.first != ""}
	x.mu.Lock()
	x.tries = append(x.tries, t)
	x.mu.Unlock()
	a, err := c.send(http.MethodPost, s.path, id, "a prompt", h, streamLimit)
	if err != nil || a.StatusCode != http.StatusOK {
		x.world.record.add("client gets no stream for %s: %v, %v", id, err, a)
		return false
	}
	err = x.read(s, id, c, a.Body)
	t.hasEvent = s.last > before
	x.world.record.add("client has %s up to event %d by %s, error %v", s.path, s.last, id, err)
	return err == nil && s.last == x.events
}

// read reads the events of an attempt.
func (x *versions) read(s *reading, id string, c net.Conn, body io.Reader) error {
	var text string
	b := make([]byte, 4096)
	for {
		_ = c.SetReadDeadline(time.Now().Add(gapTime))
		n, err := body.Read(b)
		text += string(b[:n])
		for {
			event, rest, ok := strings.Cut(text, "\n\n")
			if !ok {
				break
			}
			text = rest
			if e := x.note(s, id, event); e != nil {
				return e
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// note notes an event of a stream.
func (x *versions) note(s *reading, id, event string) error {
	line, _, _ := strings.Cut(event, "\n")
	n, err := strconv.Atoi(strings.TrimPrefix(line, "id: "))
	if err != nil || n != s.last+1 {
		return errors.New("the events aren't in order")
	}
	s.last = n
	if s.first == "" {
		s.first = id
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if l := x.streams[s.path]; len(l) == 0 || l[len(l)-1] != id {
		x.streams[s.path] = append(l, id)
	}
	if n == x.events {
		x.ended++
	}
	return nil
}

// judge checks ORDER.
func (x *versions) judge() verdict {
	x.mu.Lock()
	defer x.mu.Unlock()
	var joined []string
	for path, attempts := range x.streams {
		seen := map[string]bool{}
		var parts []string
		for _, id := range attempts {
			seen[x.versionOf[id]] = true
			parts = append(parts, id+" by "+x.versionOf[id])
		}
		if len(seen) > 1 {
			joined = append(joined, path+": "+strings.Join(parts, ", "))
		}
	}
	text := fmt.Sprintf("%d streams began, %d ended, clients went on %d times; %d streams hold events from runners of two versions, %d are allowed: %s",
		len(x.streams), x.ended, x.resumed, len(joined), maxJoined, strings.Join(joined, "; "))
	return verdict{len(joined) > maxJoined, text}
}
