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

func eventually(t *testing.T, what string, holds func() bool) time.Duration {
	t.Helper()
	from := time.Now()
	for !holds() {
		if time.Since(from) > eventuallyTimeout {
			t.Fatalf("never: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(from)
}

// givenAddresses are the addresses that a test has got: one that is free until its test listens must not go to a second
// test beside it.
var givenAddresses sync.Map

// freeAddresses finds addresses that are free for both protocols.
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
			if _, given := givenAddresses.LoadOrStore(address, true); !given {
				all = append(all, address)
			}
			_ = udp.Close() // was only to see that it is free
		}
		tcp.Close()
	}
	return all
}

// testFleet is members in this process, over the loopback.
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
		Fleet:  f.t.Name(), // tests that run beside each other are strangers
		Name:   fmt.Sprintf("n%d", i),
		Zone:   "z",
		Region: "r",
		Listen: f.addresses[i],
		Seeds:  f.seeds,
		Probe:  400 * time.Millisecond,
		Log:    log,
	}
}

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

// agree reports whether some processes see so many alive members in a member list of as many, and each other's digest.
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

func stateOf(m *Mesh, name string) State {
	for _, member := range m.View().Members {
		if member.Name == name {
			return member.State
		}
	}
	return -1
}

// allSee reports whether some processes have a member in a state.
func allSee(meshes []*Mesh, name string, state State) bool {
	for _, m := range meshes {
		if stateOf(m, name) != state {
			return false
		}
	}
	return true
}
