package membership

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"sync"
	"testing"
	"time"
)

const eventuallyTimeout = 30 * time.Second

// eventually waits until a condition holds, and returns how long that took. It fails the test after eventuallyTimeout.
func eventually(t *testing.T, what string, holds func() bool) time.Duration {
	t.Helper()
	from := time.Now()
	for !holds() {
		if time.Since(from) > eventuallyTimeout {
			t.Fatalf("condition did not hold in time: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(from)
}

// reservedAddresses holds the addresses that tests have been given. An address stays free until its test listens, and
// must not be given to another test that runs in parallel.
var reservedAddresses sync.Map

// freeAddresses returns loopback addresses whose ports are free for both TCP and UDP.
func freeAddresses(t *testing.T, count int) (all []string) {
	t.Helper()
	for len(all) < count {
		tcp, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		address := tcp.Addr().String()
		udp, err := net.ListenPacket("udp4", address)
		if err == nil {
			if _, given := reservedAddresses.LoadOrStore(address, true); !given {
				all = append(all, address)
			}
			_ = udp.Close() // opened only to check that the port is free
		}
		tcp.Close()
	}
	return all
}

// testFleet is a fleet whose members run in the test process and communicate over the loopback interface.
type testFleet struct {
	t         *testing.T
	addresses []string
	seeds     []string
	meshes    []*Mesh
}

func (f *testFleet) config(i int) Config {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	if os.Getenv("MESH_LOG") != "" {
		log = slog.New(slog.NewTextHandler(os.Stderr, nil)).With("self", i)
	}
	return Config{
		Fleet:  f.t.Name(), // members of tests that run in parallel must not join each other
		Name:   fmt.Sprintf("n%d", i),
		Zone:   "z",
		Region: "r",
		Listen: f.addresses[i],
		Seeds:  f.seeds,
		Probe:  400 * time.Millisecond,
		Log:    log,
	}
}

// start starts a process of member i, which serves at once.
func (f *testFleet) start(i int, changes ...func(*Config)) *Mesh {
	f.t.Helper()
	cfg := f.config(i)
	for _, change := range changes {
		change(&cfg)
	}
	m, err := Start(cfg)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(m.Close)
	m.AnnounceServing()
	return m
}

// newTestFleet lets the test run in parallel with others, starts a fleet, and waits until all members agree that it is
// complete.
func newTestFleet(t *testing.T, size int) *testFleet {
	t.Helper()
	t.Parallel()
	f := &testFleet{t: t, addresses: freeAddresses(t, size)}
	for i := range min(size, 2) {
		f.seeds = append(f.seeds, fmt.Sprintf("n%d=%s", i, f.addresses[i]))
	}
	for i := range size {
		f.meshes = append(f.meshes, f.start(i))
	}
	eventually(t, "all agree on the complete fleet", func() bool { return f.agree(f.meshes, size, Complete) })
	return f
}

// agree reports whether all given processes see size alive members, are on the given side and have the same digest. For
// a complete fleet the member list must have that size, too.
func (f *testFleet) agree(meshes []*Mesh, size int, side PartitionSide) bool {
	for _, m := range meshes {
		view := m.View()
		alive := 0
		for _, member := range view.Members {
			if member.State == Alive {
				alive++
			}
		}
		if alive != size || view.Side != side || view.Digest != meshes[0].View().Digest {
			return false
		}
		if side == Complete && view.MemberListSize != size {
			return false
		}
	}
	return true
}

// stateOf returns a member's state in a process's view, or -1 if the member is not in it.
func stateOf(m *Mesh, name string) State {
	for _, member := range m.View().Members {
		if member.Name == name {
			return member.State
		}
	}
	return -1
}

// allSee reports whether all given processes have a member in a state.
func allSee(meshes []*Mesh, name string, state State) bool {
	for _, m := range meshes {
		if stateOf(m, name) != state {
			return false
		}
	}
	return true
}
