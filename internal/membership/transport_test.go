package membership

import (
	"net"
	"testing"
	"time"
)

// dialPackets returns a function that sends packets to an address from outside the fleet.
func dialPackets(t *testing.T, address string) (send func(packet []byte)) {
	t.Helper()
	conn, err := net.Dial("udp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return func(packet []byte) {
		_, _ = conn.Write(packet) // a lost packet is missing from the counters that the test checks
	}
}

// Packets that are invalid, of another fleet or version, or replayed are dropped and counted by reason, and the fleet
// does not change.
func TestInvalidPacketsAreDroppedAndCounted(t *testing.T) {
	f := newTestFleet(t, 2)
	send := dialPackets(t, f.addresses[0])
	dropped := func(reason string) int64 { return f.meshes[0].Counters().Dropped[reason] }
	valid := frame{
		kind:     framePacket,
		fleet:    f.meshes[0].network.(*transport).fleet,
		process:  77,
		sequence: 5,
		payload:  []byte("x"),
	}
	foreign := valid
	foreign.fleet++
	newer := valid.append(nil)
	newer[2]++
	broken := valid.append(nil)
	broken[len(broken)-1]++
	oversized := valid
	oversized.payload = make([]byte, maxPacketSize+1)
	for reason, packet := range map[string][]byte{
		"malformed": broken,
		"version":   newer,
		"foreign":   foreign.append(nil),
		"oversized": oversized.append(nil),
	} {
		send(packet)
		eventually(t, reason+" packets are counted", func() bool { return dropped(reason) > 0 })
	}
	send(valid.append(nil))
	send(valid.append(nil))
	eventually(t, "one packet is counted as replayed", func() bool { return dropped("replayed") == 1 })
	if !f.agree(f.meshes, 2, Complete) {
		t.Error("the two members no longer agree on a complete fleet after invalid packets")
	}
}

// A flood of packets is dropped unread above the rate limit, and the members stay alive for each other.
func TestFloodIsDropped(t *testing.T) {
	f := newTestFleet(t, 3)
	send := dialPackets(t, f.addresses[1])
	junk := make([]byte, 200)
	for end := time.Now().Add(time.Second); time.Now().Before(end); {
		send(junk)
	}
	eventually(t, "over 100 packets count as flood", func() bool { return f.meshes[1].Counters().Dropped["flood"] > 100 })
	eventually(t, "all agree on the complete fleet", func() bool { return f.agree(f.meshes, 3, Complete) })
}
