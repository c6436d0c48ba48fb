package main

import (
	"bufio"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"keelusher/internal/testbed/testbedtest"
)

var binary string // path of the node program, built by TestMain

// TestMain runs the program in place of the tests if TESTBED_AS_PROGRAM is set, so that the tests can start it.
func TestMain(m *testing.M) {
	if os.Getenv("TESTBED_AS_PROGRAM") != "" {
		main()
		os.Exit(0)
	}
	os.Exit(testbedtest.Main(m, &binary))
}

// newProgram returns a command that runs the program with the given arguments.
func newProgram(args ...string) *exec.Cmd {
	c := exec.Command(os.Args[0], args...)
	c.Env = append(os.Environ(), "TESTBED_AS_PROGRAM=1")
	return c
}

func TestExitCodes(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(bad, []byte("name = \"x\"\nduration = \"1s\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, x := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"check", bad}, 2, "bad.toml:2: duration: unknown key"},
		{[]string{"check"}, 2, "arg"},
		{[]string{"run", "nowhere.toml"}, 2, "nowhere.toml"},
		{[]string{"report", t.TempDir()}, 1, "holds no results"},
		{[]string{"frobnicate"}, 2, "frobnicate"},
		{[]string{"run", "--frob"}, 2, "frob"},
		{nil, 2, "no command"},
		{[]string{"check", "../../experiments/first.toml"}, 0, ""},
		{[]string{"list", "--dir", "../../experiments"}, 0, "first.toml"},
	} {
		c := newProgram(x.args...)
		out, _ := c.CombinedOutput()
		if got := c.ProcessState.ExitCode(); got != x.code || !strings.Contains(string(out), x.want) {
			t.Errorf("%v: exit %d, want %d; printed %q, want %q in it", x.args, got, x.code, out, x.want)
		}
	}
}

// After SIGINT during a run, the program has to end its nodes, remove its temporary directory and keep the results so
// far.
func TestInterrupt(t *testing.T) {
	dir := t.TempDir()
	c := newProgram("run", "../../experiments/first.toml", "--binary", binary, "--out", dir)
	c.Env = append(c.Env, "TMPDIR="+dir)
	out, err := c.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	interrupted := make(chan struct{})
	go func() { // interrupts the program once a node serves
		defer close(interrupted)
		for {
			logs, _ := filepath.Glob(filepath.Join(dir, "balancer-testbed-*", "n1", "n1.log"))
			for _, l := range logs {
				if text, _ := os.ReadFile(l); strings.Contains(string(text), "to=serving") {
					if err := c.Process.Signal(syscall.SIGINT); err != nil {
						t.Error(err)
					}
					return
				}
			}
		}
	}()
	for lines := bufio.NewScanner(out); lines.Scan(); {
		t.Log(lines.Text())
	}
	_ = c.Wait() // the exit code is checked below
	<-interrupted
	if code := c.ProcessState.ExitCode(); code != 1 {
		t.Errorf("the interrupted program ended with exit code %d, want 1", code)
	}
	if left, _ := filepath.Glob(filepath.Join(dir, "balancer-testbed-*")); len(left) != 0 {
		t.Errorf("the temporary directory was not removed: %v", left)
	}
	if _, err := os.Stat(filepath.Join(dir, "results.jsonl")); err != nil {
		t.Error(err)
	}
}

func TestCapacityAgainstStubs(t *testing.T) {
	c := newProgram("capacity", "--rate", "200", "--length", "1s", "--links")
	out, err := c.CombinedOutput()
	if err != nil || !strings.Contains(string(out), "lost 0; broken map[]") ||
		!strings.Contains(string(out), "processor time of the testbed") {
		t.Errorf("capacity ended with %v, printed %s, want no error, nothing lost and the processor time", err, out)
	}
}

// The day command must print the same arrivals and fault steps for the same seed, and others for another seed.
func TestDayDependsOnlyOnTheSeed(t *testing.T) {
	var outputs []string
	for _, seed := range []string{"1", "1", "2"} {
		out, err := newProgram("day", "../../experiments/first.toml", "--seed", seed).Output()
		if err != nil {
			t.Fatal(err)
		}
		outputs = append(outputs, string(out))
	}
	if outputs[0] != outputs[1] || outputs[0] == outputs[2] || strings.Count(outputs[0], "\n") < 5000 ||
		!strings.Contains(outputs[0], " cut n2->front-[12]\n") {
		t.Errorf("seeds 1, 1, 2: got %d, %d, %d bytes; want the same twice, with 5000 lines and a cut, then another",
			len(outputs[0]), len(outputs[1]), len(outputs[2]))
	}
}
