package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// restartPause is the time after which the platform starts a process again that has ended.
const restartPause = 300 * time.Millisecond

// proc is a place at which a role of the deploy file runs, life after life.
type proc struct {
	w    *world
	name string
	args []string
	path string
	// first and later are the settings files of the first life and of the later ones.
	first, later []byte

	mu     sync.Mutex
	cmd    *exec.Cmd
	gone   chan struct{}
	lives  int
	closed bool
	// over counts the lives that the platform has ended since they used more than their memory.
	over int
	// peak is the largest memory of a life, in MB.
	peak int
}

// start writes the settings file and starts the process.
func (w *world) startProc(name string, args []string, settings map[string]any) (*proc, error) {
	b, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	p := &proc{w: w, name: name, args: args, path: filepath.Join(w.dir, name+".yaml")}
	// JSON is YAML too.
	p.first = b
	settings["bootstrap"] = false
	if p.later, err = json.MarshalIndent(settings, "", "  "); err != nil {
		return nil, err
	}
	w.closers = append(w.closers, p.close)
	return p, p.live()
}

func (p *proc) live() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	b := p.first
	if p.lives > 0 {
		b = p.later
	}
	if err := os.WriteFile(p.path, b, 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(p.w.dir, fmt.Sprintf("%s.%d.log", p.name, p.lives)))
	if err != nil {
		return err
	}
	c := exec.Command("target/platform", p.args...)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "CRANBERRYPOINT_CONFIG=" + p.path}
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	p.cmd, p.gone = c, make(chan struct{})
	p.lives++
	p.w.record.line("%s starts, life %d", p.name, p.lives)
	go p.await(c, p.gone, log)
	return nil
}

func (p *proc) await(c *exec.Cmd, gone chan struct{}, log *os.File) {
	err := c.Wait()
	_ = log.Close()
	p.w.record.line("%s has ended: %v", p.name, err)
	close(gone)
	time.Sleep(restartPause)
	if err := p.live(); err != nil {
		p.w.record.say("%s can't be started: %v", p.name, err)
	}
}

func (p *proc) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.w.record.say("%s gets %v", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

func (p *proc) close() {
	p.mu.Lock()
	p.closed = true
	c, gone := p.cmd, p.gone
	p.mu.Unlock()
	if c == nil {
		return
	}
	_ = c.Process.Kill()
	<-gone
}

// memory returns the memory of the present life in MiB, without what it maps from files.
func (p *proc) memory() (pid, mb int) {
	p.mu.Lock()
	pid = p.cmd.Process.Pid
	p.mu.Unlock()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return pid, 0
	}
	for _, l := range strings.Split(string(b), "\n") {
		if f := strings.Fields(l); len(f) > 1 && f[0] == "RssAnon:" {
			mb = number(f[1]) / 1024
		}
	}
	return pid, mb
}

// bound ends the present life as the platform does if it uses more than its memory, and reports whether it did.
func (p *proc) bound(limitMB int) bool {
	pid, mb := p.memory()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peak = max(p.peak, mb)
	if mb <= limitMB || p.cmd.Process.Pid != pid {
		return false
	}
	p.over++
	p.w.record.say("%s uses %d MB of its %d MB; the platform kills it", p.name, mb, limitMB)
	_ = p.cmd.Process.Kill()
	return true
}
