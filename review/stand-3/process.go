package main

import (
	"os"
	"os/exec"
)

// process is a program of the deploy file.
type process struct {
	ip   string
	cmd  *exec.Cmd
	done chan struct{}
}

// startProcess starts a program with the settings in a file. Its log isn't kept.
func startProcess(ip, settings, program string, args ...string) (*process, error) {
	c := exec.Command(program, args...)
	c.Env = append(os.Environ(), "CRANBERRYPOINT_CONFIG="+settings)
	if dir := os.Getenv("STAND_LOGS"); dir != "" {
		f, err := os.Create(dir + "/" + ip + ".log")
		if err != nil {
			return nil, err
		}
		defer func() { _ = f.Close() }()
		c.Stdout, c.Stderr = f, f
	}
	if err := c.Start(); err != nil {
		return nil, err
	}
	p := &process{ip: ip, cmd: c, done: make(chan struct{})}
	go func() {
		_ = c.Wait()
		close(p.done)
	}()
	return p, nil
}

// kill ends the process and waits for its end.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}
