//go:build linux && amd64

package shim

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestMain makes the test binary act as the shim or as the traced program if the environment says so.
func TestMain(m *testing.M) {
	switch os.Getenv("SHIM_TEST_AS") {
	case "shim":
		var spec Spec
		err := json.Unmarshal([]byte(os.Getenv("SHIM_TEST_SPEC")), &spec)
		_ = os.Setenv("SHIM_TEST_AS", os.Getenv("SHIM_TEST_PROGRAM"))
		code := 1
		if err == nil {
			code, err = Run(spec, os.Args[0], nil)
		}
		if err != nil {
			fmt.Println(err)
		}
		os.Exit(code)
	case "dials":
		dialSelf()
	case "clock":
		printClocks()
	case "waits":
		time.Sleep(3 * loadInterval)
		os.Exit(0)
	case "exits":
		os.Exit(7)
	}
	os.Exit(m.Run())
}

// dialSelf opens and closes connections to its own listener, and prints how many could not be opened.
func dialSelf() {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	go func() {
		for {
			if c, err := ln.Accept(); err == nil {
				c.Close()
			}
		}
	}()
	failed := 0
	for range 200 {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			failed++
			continue
		}
		c.Close()
	}
	fmt.Println("failed", failed)
	os.Exit(0)
}

// startedLate is the output of a program that started after its wall clock had jumped.
const startedLate = "started late\n"

// printClocks waits until a clock of the program jumps, and prints by how much the wall clock and the monotonic clock
// have left the kernel's clock since the start, in whole seconds.
func printClocks() {
	const (
		maxWait   = 30 * time.Second
		pollEvery = 10 * time.Millisecond
		afterJump = 200 * time.Millisecond // time for the other clock to jump too
	)
	start := mustReadClocks()
	if start.wallError().Abs() > time.Second {
		fmt.Print(startedLate)
		os.Exit(0)
	}
	now := start
	for !now.jumpedSince(start) && now.kernel.Sub(start.kernel) < maxWait {
		kernelSleep(pollEvery)
		now = mustReadClocks()
	}
	kernelSleep(afterJump)
	now = mustReadClocks()
	wall, monotonic := now.driftSince(start)
	fmt.Println("wall", wall.Round(time.Second), "monotonic", monotonic.Round(time.Second))
	os.Exit(0)
}

// clockReading is the time by the program's clocks, and at almost the same moment by the kernel's, which the shim does
// not change.
type clockReading struct {
	program time.Time // with a monotonic reading
	kernel  time.Time
}

// wallError returns how far the program's wall clock is ahead of the kernel's.
func (r clockReading) wallError() time.Duration { return r.program.Round(0).Sub(r.kernel) }

// driftSince returns how much further than the kernel's clock the program's clocks have advanced.
func (r clockReading) driftSince(start clockReading) (wall, monotonic time.Duration) {
	return r.wallError() - start.wallError(), r.program.Sub(start.program) - r.kernel.Sub(start.kernel)
}

// jumpedSince reports whether one of the program's clocks has jumped.
func (r clockReading) jumpedSince(start clockReading) bool {
	wall, monotonic := r.driftSince(start)
	return max(wall.Abs(), monotonic.Abs()) >= time.Second
}

// mustReadClocks reads the clocks, and ends the program if that fails.
func mustReadClocks() clockReading {
	reading, err := readClocks()
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	return reading
}

// readClocks reads the clocks. A reading during which the program was held up is repeated, so that the two times differ
// by less than half of the second to which they are rounded.
func readClocks() (clockReading, error) {
	const (
		maxDelay    = 100 * time.Millisecond
		maxReadings = 100
	)
	for range maxReadings {
		before, err := kernelTime()
		if err != nil {
			return clockReading{}, err
		}
		program := time.Now()
		after, err := kernelTime()
		if err != nil {
			return clockReading{}, err
		}
		if after.Sub(before) < maxDelay {
			return clockReading{program: program, kernel: after}, nil
		}
	}
	return clockReading{}, fmt.Errorf("held up for %v in each of %d readings of the clocks", maxDelay, maxReadings)
}

// kernelTime returns the time by which the kernel stamps files.
func kernelTime() (time.Time, error) {
	file, err := os.CreateTemp("", "clock")
	if err != nil {
		return time.Time{}, err
	}
	info, err := file.Stat()
	if err := errors.Join(err, file.Close(), os.Remove(file.Name())); err != nil {
		return time.Time{}, err
	}
	return info.ModTime(), nil
}

// kernelSleep sleeps by the kernel's clock. time.Sleep would wait by the program's, which may have jumped.
func kernelSleep(d time.Duration) {
	left := unix.NsecToTimespec(d.Nanoseconds())
	for unix.Nanosleep(&left, &left) == unix.EINTR {
		continue
	}
}

// run runs one of the programs of TestMain under the shim, and returns its output.
func run(t *testing.T, program string, spec Spec) (string, error) {
	t.Helper()
	text, err := json.Marshal(spec)
	if err != nil {
		t.Fatal(err)
	}
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), "SHIM_TEST_AS=shim", "SHIM_TEST_PROGRAM="+program, "SHIM_TEST_SPEC="+string(text))
	out, err := c.CombinedOutput()
	return string(out), err
}

func TestCallsFail(t *testing.T) {
	log := t.TempDir() + "/faults"
	out, err := run(t, "dials", Spec{Seed: 1, Until: time.Minute, Chance: 0.2, Log: log})
	if err != nil || !strings.HasPrefix(out, "failed ") || strings.HasPrefix(out, "failed 0") {
		t.Errorf("error %v, output %q, want some failed dials", err, out)
	}
	logged, err := os.ReadFile(log)
	if err != nil {
		t.Fatal(err)
	}
	for _, call := range []string{"socket", "connect", "accept4", "epoll_ctl"} {
		if !strings.Contains(string(logged), " "+call+" ") {
			t.Errorf("the log has no failed %s", call)
		}
	}
	if out, err := run(t, "dials", Spec{Seed: 1, Until: time.Minute}); err != nil || out != "failed 0\n" {
		t.Errorf("with a chance of 0: error %v, output %q, want no failed dials", err, out)
	}
}

// A program that starts after the jump, as on a busy machine, cannot see it, so it gets a later jump.
func TestWallClockJumpsAndMonotonicClockDoesNot(t *testing.T) {
	const (
		firstJump = 200 * time.Millisecond
		lastJump  = 20 * time.Second
	)
	for step, want := range map[time.Duration]string{
		time.Hour:  "wall 1h0m0s monotonic 0s\n",
		-time.Hour: "wall -1h0m0s monotonic 0s\n",
	} {
		out := startedLate
		for at := firstJump; at <= lastJump && out == startedLate; at *= 10 {
			var err error
			if out, err = run(t, "clock", Spec{ClockAt: at, ClockStep: step}); err != nil {
				t.Fatalf("clock step %v: %v, output %q", step, err, out)
			}
		}
		if out != want {
			t.Errorf("clock step %v: output %q, want only the wall clock moved", step, out)
		}
	}
}

// Guards against intervals of the tracer's load that are missing, too short, overlapping or with a negative wait.
func TestTracerWritesItsLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "tracer.log")
	began := time.Now()
	if _, err := run(t, "waits", Spec{LoadLog: path}); err != nil {
		t.Fatal(err)
	}
	loads, err := ReadLoads(path)
	if err != nil || len(loads) == 0 {
		t.Fatalf("read %d loads, error %v, want at least 1 load", len(loads), err)
	}
	last := began
	for _, load := range loads {
		if load.From.Before(last) || load.Until.Sub(load.From) < loadInterval || load.Waited < 0 {
			t.Errorf("after %v: got %+v, want a later interval of full length with a wait of 0 or more", last, load)
		}
		last = load.Until
	}
}

func TestExitCodeIsPassedOn(t *testing.T) {
	_, err := run(t, "exits", Spec{})
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.ExitCode() != 7 {
		t.Errorf("ended with %v, want exit code 7", err)
	}
}
