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

const memberEnv = "MESH_MEMBER" // name, address, seconds of the clock at the start, seeds

// TestMain runs a member of its own where another test asks for one.
func TestMain(m *testing.M) {
	if f := strings.Fields(os.Getenv(memberEnv)); len(f) > 3 {
		runMember(f)
	}
	os.Exit(m.Run())
}

// runMember takes part in a fleet until its input ends, and writes ten times a second what it sees.
func runMember(f []string) {
	var started int64
	fmt.Sscan(f[2], &started)
	m, err := Start(Config{Fleet: "test", Name: f[0], Listen: f[1], Started: time.Unix(started, 0), Seeds: f[3:], Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		panic(err)
	}
	m.AnnounceServing()
	go func() {
		io.Copy(io.Discard, os.Stdin)
		os.Exit(0)
	}()
	for ; ; time.Sleep(tickInterval) {
		v := m.View()
		for _, one := range v.Members {
			if one.Name == "n2" && one.State == Alive && v.Side == Complete && v.MemberListSize == 3 {
				fmt.Println(v.Digest, one.Incarnation)
			}
		}
	}
}

// startMember starts a process; last holds the newest line that it wrote.
func startMember(t *testing.T, f *fleet, i int, started time.Time) (c *exec.Cmd, last *atomic.Pointer[string]) {
	c, last = exec.Command(os.Args[0]), &atomic.Pointer[string]{}
	c.Env = append(os.Environ(), fmt.Sprintf("%s=n%d %s %d %s", memberEnv, i, f.addrs[i], started.Unix(), strings.Join(f.seeds, " ")))
	in, noIn := c.StdinPipe()
	out, noOut := c.StdoutPipe()
	if err := errors.Join(noIn, noOut, c.Start()); err != nil {
		t.Fatal(err)
	}
	go func() { // ends with the process
		for lines := bufio.NewScanner(out); lines.Scan(); {
			text := lines.Text()
			last.Store(&text)
		}
	}()
	t.Cleanup(func() { in.Close(); c.Process.Kill(); c.Wait() })
	return c, last
}

// A process whose clock was a day ahead is killed, and its next one has the right clock, then one of 1970: each is a
// member again, for all, with an incarnation above the one before.
func TestProcessesWithWrongClocks(t *testing.T) {
	t.Parallel()
	f := &fleet{t: t, addrs: addresses(t, 3)}
	f.seeds = []string{"n0=" + f.addrs[0], "n1=" + f.addrs[1]}
	_, a := startMember(t, f, 0, time.Now())
	_, b := startMember(t, f, 1, time.Now())
	before := uint64(0)
	for _, started := range []time.Time{time.Now().Add(24 * time.Hour), time.Now(), time.Unix(1000, 0)} {
		p, c := startMember(t, f, 2, started)
		var digest, now uint64
		eventually(t, "all agree on the whole fleet, with the new process of n2", func() bool {
			x, y, z := a.Load(), b.Load(), c.Load()
			if x == nil || y == nil || z == nil || *x != *y || *x != *z {
				return false
			}
			fmt.Sscan(*x, &digest, &now)
			return now > before
		})
		before = now
		p.Process.Kill()
		p.Wait()
	}
	if ahead := time.Until(time.UnixMilli(int64(before))); ahead < 23*time.Hour {
		t.Errorf("the last incarnation is %v ahead, want it above the first one's day", ahead)
	}
}
