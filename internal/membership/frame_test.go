package membership

import (
	"encoding/binary"
	"testing"
)

// FuzzFrame guards against a parser that panics on malformed bytes, accepts a frame of another fleet, or reads a frame
// that does not encode to the same bytes again.
func FuzzFrame(f *testing.F) {
	valid := frame{kind: framePacket, fleet: 1, process: 2, sequence: 3, payload: []byte("payload")}
	f.Add(valid.append(nil))
	f.Add([]byte("qm"))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		parsed, err := parseFrame(b, 1)
		if err != nil {
			return
		}
		if again := parsed.append(nil); string(again) != string(b) || binary.BigEndian.Uint64(b[4:]) != 1 {
			t.Errorf("%x was parsed as %+v, which encodes to %x", b, parsed, again)
		}
	})
}
