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

// printClocks prints how far the wall clock and the monotonic clock advanced during a sleep.
func printClocks() {
	start := time.Now()
	time.Sleep(400 * time.Millisecond)
	end := time.Now()
	fmt.Println(
		"wall",
		end.Round(0).Sub(start.Round(0)).Round(time.Second),
		"monotonic",
		end.Sub(start).Round(time.Second),
	)
	os.Exit(0)
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

func TestWallClockJumpsAndMonotonicClockDoesNot(t *testing.T) {
	for step, want := range map[time.Duration]string{
		time.Hour:  "wall 1h0m0s monotonic 0s\n",
		-time.Hour: "wall -1h0m0s monotonic 0s\n",
	} {
		if out, err := run(t, "clock", Spec{ClockAt: 200 * time.Millisecond, ClockStep: step}); err != nil || out != want {
			t.Errorf("clock step %v: error %v, output %q, want only the wall clock moved", step, err, out)
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
