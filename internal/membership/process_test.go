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

// memberEnv names the environment variable that makes the test program run as a member. Its value has the member's
// name, its address, the clock at its start in Unix seconds, and its seeds.
const memberEnv = "MESH_MEMBER"

// TestMain runs a member if a test has started this process for that, otherwise the tests.
func TestMain(m *testing.M) {
	if fields := strings.Fields(os.Getenv(memberEnv)); len(fields) > 3 {
		runMember(fields)
	}
	os.Exit(m.Run())
}

// runMember runs a member until its standard input ends. Ten times a second it prints the digest of its view and the
// incarnation of n2, as long as it sees n2 alive in a complete fleet of three.
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
	go func() { // ends the process when its input ends
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
	lastLine atomic.Pointer[string] // of its output
}

// startMember starts a process of member i whose clock shows the given time at its start.
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
	go func() { // returns when the process ends
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

// end kills the process, which may have ended before, and waits for it.
func (p *memberProcess) end() {
	_ = p.Process.Kill()
	_ = p.Wait()
}

// agreedLine returns the last line of all given processes, or "" if they differ or one has printed none.
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

// A process whose clock is a day ahead is killed. The next process of its name has the right clock, the one after that
// a clock in 1970. Each is a member again for all others, with an incarnation above that of the previous process.
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
		t.Errorf("the last incarnation is %v ahead of the clock, want at least 23 h, as the first one was a day ahead", ahead)
	}
}
