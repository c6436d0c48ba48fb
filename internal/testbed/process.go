package testbed

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// spawner starts children from one thread that lives as long as it does, since the kernel kills them when that thread
// ends: no child outlives the testbed, however the testbed ends.
type spawner struct {
	jobs chan func()
	done chan struct{}
}

func newSpawner() *spawner {
	s := &spawner{jobs: make(chan func()), done: make(chan struct{})}
	go func() {
		runtime.LockOSThread() // never unlocked: the thread ends with the goroutine
		for {
			select {
			case f := <-s.jobs:
				f()
			case <-s.done:
				return
			}
		}
	}()
	return s
}

func (s *spawner) start(c *exec.Cmd) error {
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	started := make(chan error, 1)
	select {
	case s.jobs <- func() { started <- c.Start() }:
		return <-started
	case <-s.done:
		return errors.New("the testbed is closed")
	}
}

// process is one program that can be started again under its name. Its output goes to a file in its folder.
type process struct {
	name, dir string
	spawner   *spawner
	command   func() *exec.Cmd
	// called at each end; crash is empty where the testbed ended it, clean is true after SIGTERM alone
	ended func(crash string, clean bool)

	mu          sync.Mutex
	cmd         *exec.Cmd // nil: not running
	endExpected bool      // the testbed ends it
	killed      bool      // by SIGKILL
	stopped     bool
	startedAt   time.Time     // of the present run
	exited      chan struct{} // closed at its end
	pastCPU     time.Duration // processor time of earlier runs
}

// start runs the program; it must not be running.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return fmt.Errorf("%s is running", p.name)
	}
	out, err := os.OpenFile(p.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close() // the child has its own
	c := p.command()
	c.Stdout, c.Stderr = out, out
	if err := p.spawner.start(c); err != nil {
		return fmt.Errorf("%s: %w", p.name, err)
	}
	p.cmd, p.endExpected, p.killed, p.stopped, p.exited = c, false, false, false, make(chan struct{})
	p.startedAt = time.Now()
	go p.wait(c, p.exited)
	return nil
}

// wait ends with the program.
func (p *process) wait(c *exec.Cmd, exited chan struct{}) {
	err := c.Wait()
	p.mu.Lock()
	p.cmd = nil
	p.pastCPU += c.ProcessState.UserTime() + c.ProcessState.SystemTime()
	crash, clean := "", err == nil && !p.killed
	if !p.endExpected {
		crash = fmt.Sprintf("ended by itself (%v)", errOr(err, "exit 0"))
	}
	p.mu.Unlock()
	if crash != "" {
		crash += ": " + p.tail(3)
	}
	p.ended(crash, clean)
	close(exited)
}

func errOr(err error, without string) string {
	if err == nil {
		return without
	}
	return err.Error()
}

func (p *process) logPath() string { return filepath.Join(p.dir, p.name+".log") }

// tail returns the last lines of the log.
func (p *process) tail(lines int) string {
	const maxTail = 4 << 10
	f, err := os.Open(p.logPath())
	if err != nil {
		return err.Error()
	}
	defer f.Close()
	if at, err := f.Seek(0, 2); err == nil {
		_, _ = f.Seek(max(0, at-maxTail), 0) // else the log's beginning is shown
	}
	text := make([]byte, maxTail)
	n, _ := f.Read(text)
	all := strings.Split(strings.TrimSpace(string(text[:n])), "\n")
	return strings.Join(all[max(0, len(all)-lines):], " | ")
}

// signal sends a signal. After SIGKILL and SIGTERM its end is expected.
func (p *process) signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return fmt.Errorf("%s is not running", p.name)
	}
	switch s {
	case syscall.SIGKILL:
		p.endExpected, p.killed = true, true
	case syscall.SIGTERM:
		p.endExpected = true
	case syscall.SIGSTOP:
		p.stopped = true
	case syscall.SIGCONT:
		p.stopped = false
	}
	return p.cmd.Process.Signal(s)
}

// running reports whether it runs, and returns a channel that closes at its end.
func (p *process) running() (bool, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil, p.exited
}

// uptime is how long it has been running; 0: it is not.
func (p *process) uptime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return time.Since(p.startedAt)
}

// kill ends it at once and waits for its end.
func (p *process) kill() {
	_ = p.signal(syscall.SIGKILL) // fails only where it has ended
	if _, exited := p.running(); exited != nil {
		<-exited
	}
}

// Usage is the resources that a process uses.
type Usage struct {
	CPU   time.Duration // user and system time since its first start
	RSS   int64         // bytes resident
	Files int           // descriptors open
}

const ticksPerSecond = 100 // USER_HZ on every Linux that Go runs on

// usage reads /proc; a process that is not running has only its past CPU time.
func (p *process) usage() (u Usage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u.CPU = p.pastCPU
	if p.cmd == nil {
		return u
	}
	folder := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	if text, err := os.ReadFile(folder + "stat"); err == nil {
		if end := bytes.LastIndexByte(text, ')'); end >= 0 { // the name before it may hold anything
			if f := strings.Fields(string(text[end+1:])); len(f) > 21 {
				user, _ := strconv.ParseInt(f[11], 10, 64)
				system, _ := strconv.ParseInt(f[12], 10, 64)
				pages, _ := strconv.ParseInt(f[21], 10, 64)
				u.CPU += time.Duration(user+system) * time.Second / ticksPerSecond
				u.RSS = pages * int64(os.Getpagesize())
			}
		}
	}
	if d, err := os.Open(folder + "fd"); err == nil {
		names, _ := d.Readdirnames(-1)
		d.Close()
		u.Files = len(names)
	}
	return u
}
