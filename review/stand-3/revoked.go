package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// revokedKey is the key that is taken away.
	revokedKey = "key-that-is-revoked"
	// revokeTime is the time after the confirmation from which no request with the key may run.
	revokeTime = 5 * time.Second
	// revokedPause is the time between two requests at an entry.
	revokedPause = 20 * time.Millisecond
	// copyAge is how old the copy is from which the store comes back, and restoreAt when that is, after the confirmation.
	copyAge   = 5 * time.Second
	restoreAt = 4600 * time.Millisecond
	// rewriteTime is the time after which the operator has written again what was lost.
	rewriteTime = 2 * time.Second
	// awayTime is how long the store is away.
	awayTime = 200 * time.Millisecond
)

// revoked holds when requests with the revoked key were sent, and which ran.
type revoked struct {
	world *world

	mu   sync.Mutex
	sent map[string]time.Time
	ran  []string
}

// playRevoked plays the case in which an entry is restarted while the store comes back from a copy without the newest configuration.
func playRevoked(w *world) (verdict, error) {
	x := &revoked{world: w, sent: map[string]time.Time{}}
	for i := range 3 {
		if _, err := w.startRunner(fmt.Sprintf("i-%d", i+1), "v1", w.ip(101+i)+":0", x.serve); err != nil {
			return verdict{}, err
		}
	}
	w.publishKeys(7, key, revokedKey)
	if err := w.startEntries(); err != nil {
		return verdict{}, err
	}
	time.Sleep(time.Second)
	restore := w.store.backup()
	time.Sleep(copyAge - restoreAt)
	w.publishKeys(9, key)
	confirmed := time.Now()
	w.record.add("version 9, without the key, is confirmed")
	end := make(chan struct{})
	var clients sync.WaitGroup
	for i := range entryCount {
		clients.Go(func() { x.client(w.ip(i+1), end) })
	}
	time.Sleep(restoreAt)
	if w.trouble {
		if err := x.disrupt(restore); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(rewriteTime)
	if w.trouble {
		w.publishKeys(9, key)
		w.record.add("the operator has written version 9 again")
	}
	time.Sleep(time.Second)
	close(end)
	clients.Wait()
	return x.judge(confirmed), nil
}

// disrupt lets the store come back from the copy, and an entry restart.
func (x *revoked) disrupt(restore func()) error {
	w := x.world
	w.store.setDown(true)
	w.record.add("the store is away")
	time.Sleep(awayTime)
	restore()
	w.store.setDown(false)
	w.record.add("the store is back from a copy without version 9")
	p := w.entries[1]
	p.kill()
	w.record.add("entry %s was killed", p.ip)
	time.Sleep(restartTime)
	p, err := w.startEntry(2, false)
	if err == nil {
		w.entries[1] = p
		w.record.add("entry %s starts again", p.ip)
	}
	return err
}

// serve notes a request and answers it.
func (x *revoked) serve(r *runner, c net.Conn, q *http.Request) bool {
	id := q.Header.Get(headerID)
	x.mu.Lock()
	x.ran = append(x.ran, id)
	x.mu.Unlock()
	x.world.record.add("runner %s runs request %s", r.id, id)
	_, err := io.WriteString(c, r.head(id)+"Content-Length: 0\r\n\r\n")
	return err == nil
}

// client sends requests with the revoked key to an entry until the end.
func (x *revoked) client(ip string, end <-chan struct{}) {
	for {
		select {
		case <-end:
			return
		case <-time.After(revokedPause):
		}
		c, err := dial(&process{ip: ip})
		if err != nil {
			continue
		}
		c.key = revokedKey
		id := newID()
		x.mu.Lock()
		x.sent[id] = time.Now()
		x.mu.Unlock()
		a, err := c.send(http.MethodPost, unsafePrefix, id, "an order", nil, deadline)
		if err == nil {
			x.world.record.add("client sends %s with the key to %s and gets %d", id, ip, a.StatusCode)
		}
		_ = c.Close()
	}
}

// judge checks CONFIG.
func (x *revoked) judge(confirmed time.Time) verdict {
	x.mu.Lock()
	defer x.mu.Unlock()
	var late []string
	for _, id := range x.ran {
		if d := x.sent[id].Sub(confirmed); d > revokeTime {
			late = append(late, fmt.Sprintf("%s, sent after %v", id, d.Round(time.Millisecond)))
		}
	}
	text := fmt.Sprintf("%d requests with the key were sent, %d ran, %d of them were sent later than %v after its revocation: %s",
		len(x.sent), len(x.ran), len(late), revokeTime, strings.Join(late, "; "))
	return verdict{len(late) > 0, text}
}
