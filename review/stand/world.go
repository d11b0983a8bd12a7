package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// Ports of the programs, as on the users' pages. Each program has an address of its own.
const (
	clientsPort = 8360
	readyPort   = 8365
	controlPort = 8367
	runnerPort  = 8080
	metricsPort = 9464
	firstPort   = 7500
	lastPort    = 7515
)

// Figures of the settings, those of ravenal-rounds.
const (
	grace       = 8 * time.Second
	revokeTime  = 5 * time.Second
	drainTime   = 2 * time.Second
	configApply = 2 * time.Second
	beat        = 1200 * time.Millisecond
	contactTime = 3 * time.Second
	memoryMB    = 284
)

// restartPause is the time after which the platform starts a process again that has ended.
const restartPause = 300 * time.Millisecond

// host is the host name of all routes.
const host = "review.example"

// world is all that a case runs.
type world struct {
	*record
	// trouble is false if the disruption is left out.
	trouble bool
	program string
	dir     string
	net     string
	store   *store
	version int
	entries []*process
	closers []func()
	// spawns are the programs that the spawner is to start.
	spawns chan spawn
}

// spawn is a program to start, and where to send the result.
type spawn struct {
	command *exec.Cmd
	result  chan error
}

// spawn starts a program.
func (w *world) spawn(c *exec.Cmd) error {
	s := spawn{c, make(chan error, 1)}
	w.spawns <- s
	return <-s.result
}

// startPrograms starts the programs that spawn asks for. It keeps its thread: the kernel ends a child whose Pdeathsig is
// set when the thread ends that started it.
func (w *world) startPrograms() {
	runtime.LockOSThread()
	for s := range w.spawns {
		s.result <- s.command.Start()
	}
}

func newWorld(program string, r *record, trouble bool) (w *world, err error) {
	w = &world{record: r, trouble: trouble, program: program, version: 4, spawns: make(chan spawn)}
	go w.startPrograms()
	if w.dir, err = os.MkdirTemp("", "review"); err != nil {
		return w, err
	}
	w.closers = append(w.closers, func() { _ = os.RemoveAll(w.dir) })
	if _, err := os.Stat(program); err != nil {
		return w, err
	}
	if w.net, err = freeNet(); err != nil {
		return w, err
	}
	if w.store, err = newStore(w.address(200, 8361)); err != nil {
		return w, err
	}
	w.closers = append(w.closers, w.store.stop)
	return w, nil
}

// freeNet returns the first three parts of loopback addresses that nobody listens on.
func freeNet() (string, error) {
	for range 20 {
		n := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		l, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", n, clientsPort))
		if err != nil {
			continue
		}
		_ = l.Close()
		return n, nil
	}
	return "", fmt.Errorf("no loopback addresses are free")
}

func (w *world) address(number, port int) string {
	return fmt.Sprintf("%s.%d:%d", w.net, number, port)
}

func (w *world) close() {
	for i := len(w.closers) - 1; i >= 0; i-- {
		w.closers[i]()
	}
}

// configure writes a configuration under the next version and returns the time of the confirmation.
func (w *world) configure(routes, services, workspaces []map[string]any) time.Time {
	w.version += 3
	return w.rewrite(routes, services, workspaces)
}

// rewrite writes a configuration again under its version.
func (w *world) rewrite(routes, services, workspaces []map[string]any) time.Time {
	w.store.put(wire.ConfigKey, map[string]any{
		"version": w.version, "routes": routes, "services": services, wire.Workspaces: workspaces,
		"limits": map[string]any{
			"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
		},
	})
	w.add("store: configuration %d is confirmed", w.version)
	return time.Now()
}

// process is a machine's program, started again whenever it ends.
type process struct {
	world    *world
	name     string
	role     string
	number   int
	path     string
	settings map[string]any

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	closed  bool
	starts  int
	// pause is the time until the next start after an end.
	pause time.Duration
}

// pauseRestart sets the time after which the program starts again when it has ended.
func (p *process) pauseRestart(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pause = d
}

// startEntries starts entries, with the memory of their machines in MB, and waits until all are ready.
func (w *world) startEntries(count, memory int) error {
	var seeds []string
	for i := range min(3, count) {
		seeds = append(seeds, w.address(1+i, controlPort))
	}
	for i := range count {
		n := 1 + i
		w.entries = append(w.entries, w.newProcess("entry", "front", n, memory, seeds, map[string]any{
			"listen": map[string]any{"front": w.address(n, clientsPort), wire.Ready: w.address(n, readyPort), "control": w.address(n, controlPort)},
		}))
	}
	for _, p := range w.entries {
		if err := p.start(); err != nil {
			return err
		}
		w.closers = append(w.closers, p.close)
	}
	for _, p := range w.entries {
		if !p.awaitReady(20 * time.Second) {
			return fmt.Errorf("%s isn't ready", p.name)
		}
	}
	for _, p := range w.entries {
		// The system has started for the first time.
		p.settings["bootstrap"] = false
		if err := p.writeSettings(); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) newProcess(role, class string, number, memory int, seeds []string, more map[string]any) *process {
	p := &process{world: w, name: fmt.Sprintf("%s-east-%d", class, number), role: role, number: number}
	p.path = filepath.Join(w.dir, p.name+".yaml")
	p.settings = map[string]any{
		wire.VM: p.name, "role": role, "machine-class": class, "serves": []string{class, "control"},
		"ip": fmt.Sprintf("%s.%d", w.net, number), wire.DataCentre: "east", "region": "region",
		wire.DataCentres: map[string]any{"east": "region"}, "port-range": []int{firstPort, lastPort},
		"seeds": seeds, "bootstrap": true, "heartbeat-ms": beat.Milliseconds(),
		"limits":   map[string]any{"cpu-share": 0.304, "cores": 1, "memory-mb": memory, "max-fds": 4100, "link-mbps": 1000.0},
		"provider": map[string]any{"address": w.store.address, "form": "read", "reads-per-s": 2000, "history-s": 20},
		"bounds": map[string]any{
			"seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": contactTime.Milliseconds(), "drain-ms": drainTime.Milliseconds(),
			"grace-s": grace.Seconds(), "loss-slack-ms": 200, "config-apply-ms": configApply.Milliseconds(),
			"revoke-strict": true, "revoke-ms": revokeTime.Milliseconds(), "retry-budget-ratio": 0.2, "budget-window-s": 10,
			"budget-min-retries": 52, "quota-window-s": 8, "quota-overage": 0.25, "quota-slack": 73000, "recover-s": 12,
			"lease-ms": 3000, "enforce-fencing": true, "thaw-ms": 300,
		},
	}
	for k, v := range more {
		p.settings[k] = v
	}
	return p
}

// start starts the program for the first time.
func (p *process) start() error {
	if err := p.writeSettings(); err != nil {
		return err
	}
	return p.live()
}

// writeSettings writes the settings file.
func (p *process) writeSettings() error {
	// JSON is YAML too.
	b, err := json.Marshal(p.settings)
	if err != nil {
		return err
	}
	return os.WriteFile(p.path, b, 0o600)
}

// live starts the program and, when it has ended, starts it again.
func (p *process) live() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	c := exec.Command(p.world.program, p.role, fmt.Sprintf("-metrics-port=%d", metricsPort))
	c.Env = append(os.Environ(), "CRANBERRYPOINT_CONFIG="+p.path)
	// The program ends with this process, however that ends.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if d := os.Getenv("REVIEW_LOGS"); d != "" {
		f, err := os.Create(filepath.Join(d, fmt.Sprintf("%s.%d.log", p.name, p.starts)))
		if err != nil {
			return err
		}
		defer func() { _ = f.Close() }()
		c.Stdout, c.Stderr = f, f
	}
	if err := p.world.spawn(c); err != nil {
		return err
	}
	p.starts++
	p.command, p.ended = c, make(chan struct{})
	p.world.add("%s: started (%d)", p.name, p.starts)
	go func(ended chan struct{}) {
		err := c.Wait()
		p.world.add("%s: ended: %v", p.name, err)
		close(ended)
		p.mu.Lock()
		d := max(p.pause, restartPause)
		p.mu.Unlock()
		time.Sleep(d)
		if err := p.live(); err != nil {
			p.world.add("%s: not started: %v", p.name, err)
		}
	}(p.ended)
	return nil
}

// signal sends a signal to the program.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.world.add("%s: %v", p.name, s)
	_ = p.command.Process.Signal(s)
}

// pid returns the id of the present process.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command.Process.Pid
}

// close ends the program for good.
func (p *process) close() {
	p.mu.Lock()
	p.closed = true
	c, ended := p.command, p.ended
	p.mu.Unlock()
	if c == nil {
		return
	}
	_ = c.Process.Signal(syscall.SIGCONT)
	_ = c.Process.Kill()
	<-ended
}

// clients returns the address for clients.
func (p *process) clients() string { return p.world.address(p.number, clientsPort) }

var readyClient = &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}

// isReady asks the program as the balancer does.
func (p *process) isReady() bool {
	a, err := readyClient.Get("http://" + p.world.address(p.number, readyPort) + "/readyz")
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// awaitReady waits until the program is ready, and reports whether it is.
func (p *process) awaitReady(most time.Duration) bool {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if p.isReady() {
			return true
		}
	}
	return false
}
