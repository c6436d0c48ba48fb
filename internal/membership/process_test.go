package membership

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// memberEnv asks the test's program to run as a member: name, address, seconds of the clock at the start, seeds.
const memberEnv = "MESH_MEMBER"

// TestMain runs a member of its own where another test asks for one.
func TestMain(m *testing.M) {
	if fields := strings.Fields(os.Getenv(memberEnv)); len(fields) > 3 {
		runMember(fields)
	}
	os.Exit(m.Run())
}

// runMember takes part in a fleet until its input ends, and writes ten times a second what it sees.
func runMember(fields []string) {
	var started int64
	if _, err := fmt.Sscan(fields[2], &started); err != nil {
		panic(err)
	}
	m, err := Start(Config{
		Fleet:   "test",
		Name:    fields[0],
		Listen:  fields[1],
		Started: time.Unix(started, 0),
		Seeds:   fields[3:],
		Log:     slog.New(slog.DiscardHandler),
	})
	if err != nil {
		panic(err)
	}
	m.AnnounceServing()
	go func() { // ends the process with its input
		_, _ = io.Copy(io.Discard, os.Stdin)
		os.Exit(0)
	}()
	for ; ; time.Sleep(tickInterval) {
		view := m.View()
		for _, member := range view.Members {
			complete := view.Side == Complete && view.MemberListSize == 3
			if member.Name == "n2" && member.State == Alive && complete {
				fmt.Println(view.Digest, member.Incarnation)
			}
		}
	}
}

// memberProcess is a process that runs a member.
type memberProcess struct {
	*exec.Cmd
	lastLine atomic.Pointer[string]
}

// startMember starts a process by its clock.
func startMember(t *testing.T, f *testFleet, i int, started time.Time) *memberProcess {
	t.Helper()
	p := &memberProcess{Cmd: exec.Command(os.Args[0])}
	member := fmt.Sprintf("n%d %s %d %s", i, f.addresses[i], started.Unix(), strings.Join(f.seeds, " "))
	p.Env = append(os.Environ(), memberEnv+"="+member)
	stdin, stdinErr := p.StdinPipe()
	stdout, stdoutErr := p.StdoutPipe()
	if err := errors.Join(stdinErr, stdoutErr, p.Start()); err != nil {
		t.Fatal(err)
	}
	go func() { // ends with the process
		for lines := bufio.NewScanner(stdout); lines.Scan(); {
			text := lines.Text()
			p.lastLine.Store(&text)
		}
	}()
	t.Cleanup(func() {
		stdin.Close()
		p.end()
	})
	return p
}

// end kills the process and waits for its end; it may have ended before.
func (p *memberProcess) end() {
	_ = p.Process.Kill()
	_ = p.Wait()
}

// agreedLine is the line that all of some processes wrote last, or "".
func agreedLine(processes ...*memberProcess) string {
	agreed := ""
	for i, p := range processes {
		line := p.lastLine.Load()
		if line == nil || i > 0 && *line != agreed {
			return ""
		}
		agreed = *line
	}
	return agreed
}

// A process whose clock was a day ahead is killed, and its next one has the right clock, then one of 1970: each is a
// member again, for all, with an incarnation above the one before.
func TestProcessesWithWrongClocks(t *testing.T) {
	t.Parallel()
	f := &testFleet{t: t, addresses: freeAddresses(t, 3)}
	f.seeds = []string{"n0=" + f.addresses[0], "n1=" + f.addresses[1]}
	first := startMember(t, f, 0, time.Now())
	second := startMember(t, f, 1, time.Now())
	before := uint64(0)
	for _, started := range []time.Time{time.Now().Add(24 * time.Hour), time.Now(), time.Unix(1000, 0)} {
		third := startMember(t, f, 2, started)
		var digest, incarnation uint64
		eventually(t, "all agree on the complete fleet, with the new process of n2", func() bool {
			line := agreedLine(first, second, third)
			if line == "" {
				return false
			}
			if _, err := fmt.Sscan(line, &digest, &incarnation); err != nil {
				t.Fatal(err)
			}
			return incarnation > before
		})
		before = incarnation
		third.end()
	}
	if ahead := time.Until(time.UnixMilli(int64(before))); ahead < 23*time.Hour {
		t.Errorf("the last incarnation is %v ahead, want it above the first one's day", ahead)
	}
}
