package testbed

import (
	"bufio"
	"context"
	"net"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"
)

// A node that is stopped with requests in flight continues after their clients have given up. Guards against findings
// for these requests, and against a node that does not become ready again.
func TestStoppedNodeComesBackToOldRequests(t *testing.T) {
	w := small(2, 2)
	w.Zones = []string{"a"}
	tb := Start(t, w)
	load, arrivals := draw(t, &tb.world, Load{Rate: 60, Retries: 1}, 4*time.Second)
	go func() {
		n := tb.Node("n1")
		Until(t, "n1 has accepted more than 20 requests", func() bool { return tb.Checker().Account().Taken > 20 })
		check(t, n.Stop())
		Until(t, "a client has given up", func() bool { return tb.Checker().Account().CutOff > 0 })
		check(t, n.Continue())
	}()
	var got tally
	tb.Drive(context.Background(), &load, arrivals, got.add)
	checkNoFindings(t, tb)
	if a := tb.Checker().Account(); a.CutOff == 0 {
		t.Errorf("no request was cut off by the stop: %+v", a)
	}
	Until(t, "n1 is ready again", func() bool { return tb.Node("n1").Ready(context.Background()) })
}

// A killed node must start again as a new process under the same name, and its usage must count the CPU time of both.
// The kill and the SIGTERM at the end must cause no findings.
func TestKilledNodeRestartsUnderItsName(t *testing.T) {
	tb := Start(t, small(2, 2))
	n := tb.Node("n1")
	before, cpu := n.process.cmd.Process.Pid, n.Usage()
	n.Kill()
	if u := n.Usage(); u.RSS != 0 || u.CPU < cpu.CPU {
		t.Errorf("usage of a killed process: %+v, want no memory and no less CPU time than before, %+v", u, cpu)
	}
	if err := n.restart(context.Background()); err != nil {
		t.Fatal(err)
	}
	if u := n.Usage(); u.RSS < 1<<20 || u.Files < 5 || n.process.cmd.Process.Pid == before {
		t.Errorf("restarted as process %d, before %d, usage %+v: want a new process with memory and files",
			n.process.cmd.Process.Pid, before, u)
	}
	if n.Terminate() {
		t.Error("the node did not exit after SIGTERM and had to be killed")
	}
	checkNoFindings(t, tb)
}

// A node process that exits although the testbed did not end it must cause a crash finding with the node's name, the
// exit status and the end of the log.
func TestCrashIsAFindingWithTheLastLogLines(t *testing.T) {
	tb := Start(t, healthyStub())
	check(t, tb.Node("n1").process.cmd.Process.Signal(syscall.SIGQUIT)) // process.signal would expect the exit
	Until(t, "the crash is found", func() bool { _, c := tb.Findings(); return c[Crash] == 1 })
	found, _ := tb.Findings()
	if found[0].Node != "n1" || !strings.Contains(found[0].Detail, "exit") || len(found[0].Detail) < 60 {
		t.Errorf("got finding %v, want one with n1, its exit status and the end of its log", found[0])
	}
}

// The start of a node whose address is in use by another process must return an error that names the node, and must not
// cause a finding against the node.
func TestPortTakenByAnotherProcess(t *testing.T) {
	tb := Start(t, healthyStub())
	n := tb.Node("n1")
	n.Kill()
	other, err := net.Listen("tcp", n.ListenAddr())
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	if err := n.Start(); err == nil || !strings.Contains(err.Error(), "the address of n1 is taken") {
		t.Errorf("start with the address in use: got error %v, want one that says that the address of n1 is taken", err)
	}
	checkNoFindings(t, tb)
}

// Opening a testbed with a node that never becomes ready must fail with an error that names the node and has the end of
// its log.
func TestNodeThatNeverBecomesReady(t *testing.T) {
	w := healthyStub()
	w.Env, w.ReadyTimeout = []string{"TESTBED_TEST_AS=mute"}, 300*time.Millisecond
	_, err := Open(context.Background(), w)
	if err == nil || !strings.Contains(err.Error(), "n1 never became ready") ||
		!strings.Contains(err.Error(), "mute as planted") {
		t.Errorf("opening the testbed: got error %v, want one with the node's name and the end of its log", err)
	}
}

// Kills a testbed in a process of its own with SIGKILL. Its two child processes must end too, although a process that
// gets SIGKILL cannot end them itself.
func TestNoChildOutlivesTheTestbed(t *testing.T) {
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), "TESTBED_TEST_AS=testbed")
	out, err := c.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(out)
	var statFiles []string
	for len(statFiles) < 2 && lines.Scan() {
		statFiles = append(statFiles, "/proc/"+lines.Text()+"/stat")
	}
	alive := func(stat string) bool { // a zombie counts as dead
		text, err := os.ReadFile(stat)
		return err == nil && !strings.Contains(string(text), ") Z ")
	}
	if len(statFiles) != 2 || !alive(statFiles[0]) || !alive(statFiles[1]) {
		t.Fatalf("the other testbed did not start two processes; /proc files of those it reported: %v", statFiles)
	}
	check(t, c.Process.Kill())
	_ = c.Wait() // it was killed
	for _, f := range statFiles {
		Until(t, f+" ends", func() bool { return !alive(f) })
	}
}
