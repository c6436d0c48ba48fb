package membership

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against failure detection in large fleets that is slow or wrong: all members must confirm a killed member dead
// within 15 s, and must confirm no live member dead under 10% packet loss. It also logs the packets and bytes that
// membership costs each member. MESH_SIZES=64,256,500 runs larger fleets than CI does and prints a table row for each.
func TestFleetInVirtualTime(t *testing.T) {
	sizes := "32"
	if s := os.Getenv("MESH_SIZES"); s != "" {
		sizes = s
	}
	for _, text := range strings.Split(sizes, ",") {
		size, err := strconv.Atoi(text)
		if err != nil || size < 4 || size > 2000 {
			t.Fatalf("MESH_SIZES: %q is not a size from 4 to 2000", text)
		}
		t.Run(text, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkVirtualFleet(t, size) })
		})
	}
}

// checkVirtualFleet measures and checks one fleet.
func checkVirtualFleet(t *testing.T, size int) {
	f := newVirtualFleet(t, size)
	agreed := f.until("all agree", f.agreed)
	time.Sleep(10 * time.Second) // until gossip about the joins has ended
	packets, bytes := f.measure(20 * time.Second)
	last := size - 1
	f.kill(last)
	first := f.until("one member sees it as dead", func() bool { return f.countDead(last) > 0 })
	all := first + f.until("all see it as dead", func() bool { return f.countDead(last) == size-1 })
	f.network.setLoss(0.1)
	time.Sleep(30 * time.Second)
	wrong := 0
	for i := range size - 1 {
		wrong += f.countDead(i)
	}
	lossy, _ := f.measure(10 * time.Second)
	t.Logf("| %d | agreed after %.1f s | %.2f packets/s | %.0f bytes/s | dead: first member %.2f s | all %.2f s "+
		"| wrongly dead in 30 s of 10%% loss: %d | then %.2f packets/s |",
		size, agreed.Seconds(), packets, bytes, first.Seconds(), all.Seconds(), wrong, lossy)
	if wrong != 0 || all > 15*time.Second {
		t.Errorf("%d members: %d wrongly dead, want 0; the killed one dead in all views after %v, want 15 s at most",
			size, wrong, all)
	}
}

// virtualFleet is a fleet whose members communicate over a virtual network.
type virtualFleet struct {
	t         *testing.T
	size      int
	network   *virtualNetwork
	endpoints []*virtualEndpoint
	meshes    []*Mesh // nil: killed
}

// newVirtualFleet starts a fleet, twenty members every 0.1 s.
func newVirtualFleet(t *testing.T, size int) *virtualFleet {
	t.Helper()
	f := &virtualFleet{t: t, size: size, network: newVirtualNetwork(uint64(size))}
	t.Cleanup(f.close)
	for i := range size {
		f.start(i)
		if i%20 == 19 {
			time.Sleep(100 * time.Millisecond)
		}
	}
	return f
}

func virtualName(i int) string { return fmt.Sprintf("n%04d", i) }

func (f *virtualFleet) start(i int) {
	f.t.Helper()
	endpoint := f.network.open(i)
	cfg := Config{
		Fleet:  "v",
		Name:   virtualName(i),
		Listen: endpoint.addr(),
		Seeds:  []string{"n0000=10.0.0.0:7000", "n0001=10.0.0.1:7000", "n0002=10.0.0.2:7000"},
		Log:    slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
	m, err := start(cfg, func(*Mesh) (packetNetwork, error) { return endpoint, nil })
	if err != nil {
		f.t.Fatal(err)
	}
	m.AnnounceServing()
	f.endpoints = append(f.endpoints, endpoint)
	f.meshes = append(f.meshes, m)
}

func (f *virtualFleet) close() {
	for _, m := range f.meshes {
		if m != nil {
			m.Close()
		}
	}
	time.Sleep(time.Minute) // memberlist's goroutines end only after their last probe
}

// kill ends a member without a leave: its endpoint goes down first, so nothing more is sent.
func (f *virtualFleet) kill(i int) {
	f.endpoints[i].down.Store(true)
	f.meshes[i].Close()
	f.meshes[i] = nil
}

// agreed reports whether all running members have a majority, the same view digest, and a member list that lacks one
// member at most.
func (f *virtualFleet) agreed() bool {
	for _, m := range f.meshes {
		if m == nil {
			continue
		}
		view := m.View()
		if view.Side < Majority || view.Digest != f.meshes[0].View().Digest || view.MemberListSize < f.size-1 {
			return false
		}
	}
	return true
}

// until waits until a condition holds, and returns the time that it took. It fails the test after two minutes.
func (f *virtualFleet) until(what string, holds func() bool) time.Duration {
	f.t.Helper()
	from := time.Now()
	for !holds() {
		if time.Since(from) > 2*time.Minute {
			f.t.Fatalf("%d members: %q: false after 2 min; states %v", f.size, what, f.meshes[0].Counters().States)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(from)
}

// sent returns the total of packets and bytes that all members have sent.
func (f *virtualFleet) sent() (packets, bytes int64) {
	for _, endpoint := range f.endpoints {
		p, b := endpoint.sent()
		packets += p
		bytes += b
	}
	return packets, bytes
}

// measure runs the fleet for a time, and returns the packets and bytes per second that one member sends on average.
func (f *virtualFleet) measure(d time.Duration) (packets, bytes float64) {
	packetsBefore, bytesBefore := f.sent()
	time.Sleep(d)
	packetsAfter, bytesAfter := f.sent()
	memberSeconds := d.Seconds() * float64(f.size)
	return float64(packetsAfter-packetsBefore) / memberSeconds, float64(bytesAfter-bytesBefore) / memberSeconds
}

// countDead returns how many members see member i as dead.
func (f *virtualFleet) countDead(i int) int { return f.countState(i, Dead) }

// countState returns how many members see member i in a state.
func (f *virtualFleet) countState(i int, state State) int {
	count := 0
	for _, m := range f.meshes {
		if m != nil && m.newestState(virtualName(i)) == state {
			count++
		}
	}
	return count
}

// newestState returns a member's state in the latest view, or -1 if the view does not have it. Unlike View it does not
// copy the members.
func (m *Mesh) newestState(name string) State {
	members := m.view.Load().Members
	byName := func(member Member, name string) int { return strings.Compare(member.Name, name) }
	i, found := slices.BinarySearchFunc(members, name, byName)
	if !found {
		return -1
	}
	return members[i].State
}
