package crowd

import (
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"

	"cranberrypoint.example/coord/fault"
)

// shownBytes is how much of the end of a log Log returns.
const shownBytes = 3000

// Bounds are what a process may hold.
type Bounds struct {
	MemoryBytes int64
	Sockets     int
}

// Process is a running program that is measured all the time. Use Run.
type Process struct {
	Name  string
	log   string
	cmd   *exec.Cmd
	ended chan struct{}
	// usage ends the measurement and returns the peaks.
	usage func() Usage
}

// Run starts a program that logs to a file, with variables in addition to those of this process. The function that it
// returns kills it.
func Run(name, log string, env []string, program string, args ...string) (p *Process, stop func(), err error) {
	defer fault.Annotate(&err, "run %s", name)
	f, err := os.Create(log)
	if err != nil {
		return nil, nil, err
	}
	p = &Process{Name: name, log: log, cmd: exec.Command(program, args...), ended: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = f, f
	if err := p.cmd.Start(); err != nil {
		_ = f.Close()
		return nil, nil, err
	}
	go func() {
		// How it ended shows in its state.
		_ = p.cmd.Wait()
		_ = f.Close()
		close(p.ended)
	}()
	p.usage = sync.OnceValue(Watch(p.cmd.Process.Pid))
	return p, func() {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.ended
		p.usage()
	}, nil
}

// Check ends the measurement. It returns the peaks, and what was wrong: the process has ended, or it held more than it may.
func (p *Process) Check(b Bounds) (peak Usage, wrong []string) {
	select {
	case <-p.ended:
		wrong = append(wrong, fmt.Sprintf("%s has ended: %s", p.Name, p.cmd.ProcessState))
	default:
	}
	peak = p.usage()
	if peak.MemoryBytes > b.MemoryBytes {
		wrong = append(wrong, fmt.Sprintf("%s held %d bytes of memory, %d are allowed", p.Name, peak.MemoryBytes, b.MemoryBytes))
	}
	if peak.Sockets > b.Sockets {
		wrong = append(wrong, fmt.Sprintf("%s held %d sockets, %d are allowed", p.Name, peak.Sockets, b.Sockets))
	}
	return peak, wrong
}

// Log returns the end of the log.
func (p *Process) Log() string {
	b, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(b[max(0, len(b)-shownBytes):])
}
