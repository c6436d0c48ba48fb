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

// spawner starts all child processes from one thread that lives as long as the spawner. The children have a parent
// death signal, which the kernel sends when the thread that started them exits. So no child outlives the test bed, even
// if the test bed is killed.
type spawner struct {
	jobs chan func()
	done chan struct{}
}

func newSpawner() *spawner {
	s := &spawner{jobs: make(chan func()), done: make(chan struct{})}
	go func() {
		runtime.LockOSThread() // never unlocked, so that the thread exits with the goroutine
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

// start starts a command in a process group of its own.
func (s *spawner) start(c *exec.Cmd) error {
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	started := make(chan error, 1)
	select {
	case s.jobs <- func() { started <- c.Start() }:
		return <-started
	case <-s.done:
		return errors.New("the test bed is closed")
	}
}

// process is a program that can be started repeatedly under one name. The output of all runs goes to a log file in dir.
type process struct {
	name, dir string
	spawner   *spawner
	command   func() *exec.Cmd
	// called at each exit; crash describes an exit that the test bed did not cause, else it is empty; clean is true after
	// exit status 0 without SIGKILL
	onExit func(crash string, clean bool)

	mu           sync.Mutex
	cmd          *exec.Cmd     // nil: not running
	exitExpected bool          // the test bed has sent SIGTERM or SIGKILL
	killed       bool          // the test bed has sent SIGKILL
	stopped      bool          // stopped by SIGSTOP
	startedAt    time.Time     // start of the present run
	exited       chan struct{} // closed after the exit of the present run
	pastCPU      time.Duration // CPU time of earlier runs
}

// start starts the program. It returns an error if the program is running.
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
	defer out.Close() // the child has its own descriptor
	c := p.command()
	c.Stdout, c.Stderr = out, out
	if err := p.spawner.start(c); err != nil {
		return fmt.Errorf("%s: %w", p.name, err)
	}
	p.cmd, p.exitExpected, p.killed, p.stopped, p.exited = c, false, false, false, make(chan struct{})
	p.startedAt = time.Now()
	go p.wait(c, p.exited)
	return nil
}

// wait waits for the exit of the program, and reports it.
func (p *process) wait(c *exec.Cmd, exited chan struct{}) {
	err := c.Wait()
	p.mu.Lock()
	p.cmd = nil
	p.pastCPU += c.ProcessState.UserTime() + c.ProcessState.SystemTime()
	crash, clean := "", err == nil && !p.killed
	if !p.exitExpected {
		crash = fmt.Sprintf("ended by itself (%v)", errOr(err, "exit 0"))
	}
	p.mu.Unlock()
	if crash != "" {
		crash += ": " + p.logTail(3)
	}
	p.onExit(crash, clean)
	close(exited)
}

// errOr returns the text of err, or the text without if err is nil.
func errOr(err error, without string) string {
	if err == nil {
		return without
	}
	return err.Error()
}

func (p *process) logPath() string { return filepath.Join(p.dir, p.name+".log") }

// logTail returns the last lines of the log, of its last 4 KiB at most.
func (p *process) logTail(lines int) string {
	const maxTail = 4 << 10
	f, err := os.Open(p.logPath())
	if err != nil {
		return err.Error()
	}
	defer f.Close()
	if at, err := f.Seek(0, 2); err == nil {
		_, _ = f.Seek(max(0, at-maxTail), 0) // on an error the text is from the start of the log
	}
	text := make([]byte, maxTail)
	n, _ := f.Read(text)
	all := strings.Split(strings.TrimSpace(string(text[:n])), "\n")
	return strings.Join(all[max(0, len(all)-lines):], " | ")
}

// signal sends a signal to the program, whose exit counts as expected after SIGKILL and SIGTERM.
func (p *process) signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return fmt.Errorf("%s is not running", p.name)
	}
	switch s {
	case syscall.SIGKILL:
		p.exitExpected, p.killed = true, true
	case syscall.SIGTERM:
		p.exitExpected = true
	case syscall.SIGSTOP:
		p.stopped = true
	case syscall.SIGCONT:
		p.stopped = false
	}
	return p.cmd.Process.Signal(s)
}

// running reports whether the program is running, and returns a channel that is closed after its exit. The channel is
// nil before the first start.
func (p *process) running() (bool, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil, p.exited
}

// uptime returns how long the program has been running, or 0 if it is not running.
func (p *process) uptime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return time.Since(p.startedAt)
}

// kill sends SIGKILL and waits for the exit.
func (p *process) kill() {
	_ = p.signal(syscall.SIGKILL) // fails only if it has exited
	if _, exited := p.running(); exited != nil {
		<-exited
	}
}

// Usage holds the resources that a process uses.
type Usage struct {
	CPU   time.Duration // user and system time, of all runs
	RSS   int64         // resident memory in bytes
	Files int           // open file descriptors
}

const ticksPerSecond = 100 // USER_HZ on every Linux that Go runs on

// usage returns the resources that the program uses, from /proc. Without a running process it has only the CPU time of
// earlier runs.
func (p *process) usage() (u Usage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u.CPU = p.pastCPU
	if p.cmd == nil {
		return u
	}
	procDir := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	if text, err := os.ReadFile(procDir + "stat"); err == nil {
		if end := bytes.LastIndexByte(text, ')'); end >= 0 { // the program name before it may contain blanks and parentheses
			if f := strings.Fields(string(text[end+1:])); len(f) > 21 {
				user, _ := strconv.ParseInt(f[11], 10, 64)
				system, _ := strconv.ParseInt(f[12], 10, 64)
				pages, _ := strconv.ParseInt(f[21], 10, 64)
				u.CPU += time.Duration(user+system) * time.Second / ticksPerSecond
				u.RSS = pages * int64(os.Getpagesize())
			}
		}
	}
	if d, err := os.Open(procDir + "fd"); err == nil {
		names, _ := d.Readdirnames(-1)
		d.Close()
		u.Files = len(names)
	}
	return u
}
