//go:build linux && amd64

package shim

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

const (
	waitNoThread  = 0x20000000 // __WNOTHREAD: wait only for children of this thread
	exitKill      = 0x00100000 // PTRACE_O_EXITKILL: the program dies with its tracer
	syscallTrap   = syscall.SIGTRAP | 0x80
	invalidCall   = ^uint64(0) // no valid system call number: the kernel makes no call
	vdsoEntry     = 33         // AT_SYSINFO_EHDR
	ignoreEntry   = 1          // AT_IGNORE
	realtimeClock = 0
	wordSize      = 8
	signaledExit  = 128 // plus the signal's number: exit code for a program ended by a signal
)

// thread is the state of one traced thread of the program.
type thread struct {
	inCall bool
	number uint64
	first  uint64 // arguments at the entry
	second uint64
	fail   syscall.Errno // error that the call is to return; 0: the call is made
}

// tracer traces one program. Only the thread that started the program may use it.
type tracer struct {
	spec    Spec
	leader  int
	began   time.Time
	random  *rand.Rand
	log     io.Writer
	load    loadMeter
	threads map[int]*thread
	sockets map[uint64]socketKind
}

// Run starts a program, applies the spec to it and returns its exit code. It forwards SIGTERM, SIGHUP and SIGINT to the
// program.
func Run(spec Spec, path string, args []string) (int, error) {
	runtime.LockOSThread() // ptrace allows only the thread that started the program to trace it; it is never unlocked
	log, err := openLog(spec.Log)
	if err != nil {
		return 0, err
	}
	defer log.Close()
	loadLog, err := openLog(spec.LoadLog)
	if err != nil {
		return 0, err
	}
	defer loadLog.Close()
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT)
	c := exec.Command(path, args...)
	c.Stdin, c.Stdout, c.Stderr = os.Stdin, os.Stdout, os.Stderr
	c.SysProcAttr = &syscall.SysProcAttr{Ptrace: true, Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return 0, err
	}
	t := &tracer{
		spec:    spec,
		leader:  c.Process.Pid,
		began:   time.Now(),
		random:  rand.New(rand.NewPCG(spec.Seed, 3)),
		log:     log,
		load:    loadMeter{to: json.NewEncoder(loadLog), since: time.Now(), waited: waitedForProcessor()},
		threads: map[int]*thread{},
		sockets: map[uint64]socketKind{},
	}
	go func() { // ends with this process
		for s := range signals {
			_ = syscall.Kill(t.leader, s.(syscall.Signal))
		}
	}()
	return t.traceUntilExit()
}

// openLog opens a file for appending, or the null device if path is empty.
func openLog(path string) (*os.File, error) {
	if path == "" {
		path = os.DevNull
	}
	return os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
}

// traceUntilExit traces the program until it ends, and returns its exit code.
func (t *tracer) traceUntilExit() (int, error) {
	var status syscall.WaitStatus
	if _, err := syscall.Wait4(t.leader, &status, 0, nil); err != nil {
		return 0, fmt.Errorf("wait for the program to start: %w", err)
	}
	if status.Exited() {
		return status.ExitStatus(), nil
	}
	options := syscall.PTRACE_O_TRACECLONE | syscall.PTRACE_O_TRACESYSGOOD | exitKill
	if err := syscall.PtraceSetOptions(t.leader, options); err != nil {
		return 0, fmt.Errorf("set the ptrace options: %w", err)
	}
	if t.spec.ClockStep != 0 {
		if err := t.hideVDSO(); err != nil {
			return 0, fmt.Errorf("hide the vDSO to shift the clock: %w", err)
		}
	}
	t.threads[t.leader] = &thread{}
	_ = syscall.PtraceSyscall(t.leader, 0) // fails if the program has just been killed
	for {
		id, err := syscall.Wait4(-1, &status, syscall.WALL|waitNoThread, nil)
		if errors.Is(err, syscall.EINTR) {
			continue
		}
		t.load.record(time.Now())
		if err != nil {
			return 0, fmt.Errorf("wait for a traced thread: %w", err)
		}
		if status.Exited() || status.Signaled() {
			delete(t.threads, id)
			if id != t.leader {
				continue
			}
			if status.Signaled() {
				return signaledExit + int(status.Signal()), nil
			}
			return status.ExitStatus(), nil
		}
		_ = syscall.PtraceSyscall(id, t.handleStop(id, status)) // fails if the thread has just been killed
	}
}

// handleStop handles one ptrace stop of a thread, and returns the signal to deliver when the thread is resumed, or 0.
func (t *tracer) handleStop(id int, status syscall.WaitStatus) (signal int) {
	known := t.threads[id]
	switch {
	case known == nil: // a new thread: its first stop is caused by the tracing itself
		t.threads[id] = &thread{}
		return 0
	case status.StopSignal() == syscallTrap:
		t.handleCall(id, known)
		return 0
	case status.StopSignal() == syscall.SIGTRAP: // a ptrace event such as the creation of a thread
		return 0
	}
	return int(status.StopSignal())
}

// handleCall handles the stop at the entry or the exit of a system call.
func (t *tracer) handleCall(id int, th *thread) {
	var regs syscall.PtraceRegs
	if syscall.PtraceGetRegs(id, &regs) != nil {
		return // the thread has been killed
	}
	th.inCall = !th.inCall
	if th.inCall {
		t.enterCall(id, th, &regs)
	} else {
		t.exitCall(id, th, &regs)
	}
}

// enterCall decides whether a system call fails. A call that fails is replaced by an invalid one, so it has no effect.
func (t *tracer) enterCall(id int, th *thread, regs *syscall.PtraceRegs) {
	th.number, th.first, th.second, th.fail = regs.Orig_rax, regs.Rdi, regs.Rsi, 0
	if th.number == syscall.SYS_CLOSE {
		delete(t.sockets, th.first)
	}
	at := time.Since(t.began)
	f, can := canFail(th.number, t.sockets[th.first], th.second)
	if !can || at < t.spec.From || at >= t.spec.Until || t.random.Float64() >= t.spec.Chance {
		return
	}
	th.fail = f.errors[t.random.IntN(len(f.errors))]
	regs.Orig_rax = invalidCall
	if syscall.PtraceSetRegs(id, regs) != nil {
		th.fail = 0
		return
	}
	_, _ = fmt.Fprintf(t.log, "%.3f %s fd=%d %s\n", at.Seconds(), f.name, th.first, th.fail)
}

// exitCall sets the return value of a failed call, records the kinds of new sockets, and shifts the wall clock.
func (t *tracer) exitCall(id int, th *thread, regs *syscall.PtraceRegs) {
	if th.fail != 0 {
		regs.Rax = uint64(-int64(th.fail))
		_ = syscall.PtraceSetRegs(id, regs) // fails if the thread has just been killed
		return
	}
	result := int64(regs.Rax)
	switch {
	case result < 0:
	case th.number == syscall.SYS_SOCKET:
		t.sockets[uint64(result)] = created
	case th.number == syscall.SYS_ACCEPT4:
		t.sockets[uint64(result)] = accepted
	case th.number == syscall.SYS_LISTEN:
		t.sockets[th.first] = listening
	case th.number == syscall.SYS_CLOCK_GETTIME && th.first == realtimeClock:
		t.shiftClock(id, uintptr(th.second))
	}
}

// shiftClock adds the clock step to the seconds of a timespec that the kernel has just written at an address, once the
// wall clock has jumped.
func (t *tracer) shiftClock(id int, at uintptr) {
	if time.Since(t.began) < t.spec.ClockAt {
		return
	}
	word := make([]byte, wordSize)
	if _, err := syscall.PtracePeekData(id, at, word); err != nil {
		return
	}
	seconds := binary.LittleEndian.Uint64(word) + uint64(int64(t.spec.ClockStep/time.Second))
	binary.LittleEndian.PutUint64(word, seconds)
	_, _ = syscall.PtracePokeData(id, at, word) // fails if the thread has just been killed
}

// hideVDSO removes the vDSO from the auxiliary vector that the program gets at its start, so that the program reads the
// clock by a system call.
func (t *tracer) hideVDSO() error {
	var regs syscall.PtraceRegs
	if err := syscall.PtraceGetRegs(t.leader, &regs); err != nil {
		return err
	}
	at := uintptr(regs.Rsp)
	word := make([]byte, wordSize)
	next := func() (uint64, error) {
		_, err := syscall.PtracePeekData(t.leader, at, word)
		at += wordSize
		return binary.LittleEndian.Uint64(word), err
	}
	count, err := next()
	if err != nil {
		return err
	}
	at += uintptr(count+1) * wordSize // the arguments and their terminating null
	for v := uint64(1); v != 0; {     // the environment and its terminating null
		if v, err = next(); err != nil {
			return err
		}
	}
	for {
		key, err := next()
		if err != nil || key == 0 {
			return errors.Join(err, errors.New("no vDSO in the auxiliary vector of the program"))
		}
		if key == vdsoEntry {
			binary.LittleEndian.PutUint64(word, ignoreEntry)
			_, err := syscall.PtracePokeData(t.leader, at-wordSize, word)
			return err
		}
		if _, err := next(); err != nil {
			return err
		}
	}
}
