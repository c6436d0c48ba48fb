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

func TestStoppedNodeComesBackToOldRequests(t *testing.T) {
	w := small(2, 2)
	w.Zones = []string{"a"}
	tb := Start(t, w)
	load, arrivals := draw(t, &tb.world, Load{Rate: 60, Retries: 1}, 4*time.Second)
	go func() {
		n := tb.Node("n1")
		Until(t, "n1 has requests", func() bool { return tb.Checker().Account().Taken > 20 })
		check(t, n.Stop())
		Until(t, "a client gave up", func() bool { return tb.Checker().Account().CutOff > 0 })
		check(t, n.Continue())
	}()
	var got tally
	tb.Drive(context.Background(), &load, arrivals, got.add)
	checkNoFindings(t, tb)
	if a := tb.Checker().Account(); a.CutOff == 0 {
		t.Errorf("nothing was cut off: %+v", a)
	}
	Until(t, "n1 serves again", func() bool { return tb.Node("n1").Ready(context.Background()) })
}

func TestKilledNodeRestartsUnderItsName(t *testing.T) {
	tb := Start(t, small(2, 2))
	n := tb.Node("n1")
	before, cpu := n.process.cmd.Process.Pid, n.Usage()
	n.Kill()
	if u := n.Usage(); u.RSS != 0 || u.CPU < cpu.CPU {
		t.Errorf("a killed process takes %+v, before its end %+v", u, cpu)
	}
	if err := n.restart(context.Background()); err != nil {
		t.Fatal(err)
	}
	if u := n.Usage(); u.RSS < 1<<20 || u.Files < 5 || n.process.cmd.Process.Pid == before {
		t.Errorf("restarted as process %d, before %d, with %+v", n.process.cmd.Process.Pid, before, u)
	}
	if n.Terminate() {
		t.Error("SIGKILL was needed after SIGTERM")
	}
	checkNoFindings(t, tb)
}

func TestCrashIsAFindingWithTheLastLogLines(t *testing.T) {
	tb := Start(t, healthyStub())
	check(t, tb.Node("n1").process.cmd.Process.Signal(syscall.SIGQUIT)) // not through the testbed: its end is unexpected
	Until(t, "the end is found", func() bool { _, c := tb.Findings(); return c[Crash] == 1 })
	found, _ := tb.Findings()
	if found[0].Node != "n1" || !strings.Contains(found[0].Detail, "exit") || len(found[0].Detail) < 60 {
		t.Errorf("found %v, want n1, its exit and its last words", found[0])
	}
}

func TestPortTakenByAnotherProcess(t *testing.T) {
	tb := Start(t, healthyStub())
	n := tb.Node("n1")
	n.Kill()
	other, err := net.Listen("tcp", n.Listen())
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	if err := n.Start(); err == nil || !strings.Contains(err.Error(), "the address of n1 is taken") {
		t.Errorf("started with %v, want its address taken", err)
	}
	checkNoFindings(t, tb)
}

func TestNodeThatNeverBecomesReady(t *testing.T) {
	w := healthyStub()
	w.Env, w.Ready = []string{"TESTBED_TEST_AS=mute"}, 300*time.Millisecond
	_, err := Open(context.Background(), w)
	if err == nil || !strings.Contains(err.Error(), "n1 never became ready") ||
		!strings.Contains(err.Error(), "mute as planted") {
		t.Errorf("opened with %v, want the node's name and what it said", err)
	}
}

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
	var folders []string
	for len(folders) < 2 && lines.Scan() {
		folders = append(folders, "/proc/"+lines.Text()+"/stat")
	}
	alive := func(stat string) bool { // a zombie is dead
		text, err := os.ReadFile(stat)
		return err == nil && !strings.Contains(string(text), ") Z ")
	}
	if len(folders) != 2 || !alive(folders[0]) || !alive(folders[1]) {
		t.Fatalf("the other testbed did not start: %v", folders)
	}
	check(t, c.Process.Kill())
	_ = c.Wait() // it was killed
	for _, f := range folders {
		Until(t, f+" ends", func() bool { return !alive(f) })
	}
}
