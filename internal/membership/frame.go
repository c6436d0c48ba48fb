package membership

import (
	"encoding/binary"
	"errors"

	"github.com/cespare/xxhash/v2"
)

// A frame carries one packet, or opens one stream. All numbers are big-endian:
//
//	"qm" | version 2 | kind 1 | fleet 8 | process 8 | sequence 8 | check 4 | payload
//
// The fleet is the hash of its name. The check is over all before it, and the payload.
const (
	frameVersion = 2
	frameHead    = 2 + 1 + 1 + 8 + 8 + 8 + 4
	mostPacket   = 1400 // bytes of a packet with its frame: no fragments
)

type frameKind byte

const (
	framePacket frameKind = 1
	frameStream frameKind = 2
)

type frame struct {
	kind    frameKind
	fleet   uint64
	process uint64 // of the sender, drawn at its start
	seq     uint64 // from 1, never twice
	payload []byte
}

// Why a frame is dropped.
var (
	errMalformed = errors.New("malformed")
	errVersion   = errors.New("another protocol version")
	errForeign   = errors.New("another fleet")
	errOversized = errors.New("oversized")
	errReplayed  = errors.New("replayed")
)

func check(head, payload []byte) uint32 {
	var d xxhash.Digest
	d.Reset()
	d.Write(head) // never fails
	d.Write(payload)
	return uint32(d.Sum64())
}

// append adds the frame's bytes to b.
func (f *frame) append(b []byte) []byte {
	from := len(b)
	b = append(b, 'q', 'm', frameVersion, byte(f.kind))
	b = binary.BigEndian.AppendUint64(b, f.fleet)
	b = binary.BigEndian.AppendUint64(b, f.process)
	b = binary.BigEndian.AppendUint64(b, f.seq)
	b = binary.BigEndian.AppendUint32(b, check(b[from:], f.payload))
	return append(b, f.payload...)
}

// parseFrame reads a frame of a fleet. The payload is a part of b.
func parseFrame(b []byte, fleet uint64) (f frame, err error) {
	if len(b) < frameHead || b[0] != 'q' || b[1] != 'm' {
		return f, errMalformed
	}
	if b[2] != frameVersion {
		return f, errVersion
	}
	f.kind = frameKind(b[3])
	f.fleet = binary.BigEndian.Uint64(b[4:])
	f.process = binary.BigEndian.Uint64(b[12:])
	f.seq = binary.BigEndian.Uint64(b[20:])
	f.payload = b[frameHead:]
	if binary.BigEndian.Uint32(b[28:]) != check(b[:frameHead-4], f.payload) || f.kind != framePacket && f.kind != frameStream {
		return f, errMalformed
	}
	if f.fleet != fleet {
		return f, errForeign
	}
	return f, nil
}

// window remembers which sequence numbers of a sender have come: all below the newest 64, and a bit for each of these.
type window struct {
	newest uint64
	bits   uint64 // bit i: newest-i has come
}

// take says whether a number comes for the first time, as far as the window reaches back.
func (w *window) take(seq uint64) bool {
	switch {
	case seq == 0:
		return false
	case seq > w.newest:
		if shift := seq - w.newest; shift < 64 {
			w.bits = w.bits<<shift | 1
		} else {
			w.bits = 1
		}
		w.newest = seq
		return true
	case w.newest-seq >= 64 || w.bits>>(w.newest-seq)&1 == 1:
		return false
	}
	w.bits |= 1 << (w.newest - seq)
	return true
}
