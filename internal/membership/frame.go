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
// The fleet is the hash of its name. The check is over all before it, and the payload. Processes of older builds read
// it, so the form stays as long as the version does.
const (
	frameMagic      = "qm"
	frameVersion    = 2
	frameCheckSize  = 4
	frameHeaderSize = 2 + 1 + 1 + 8 + 8 + 8 + frameCheckSize
	maxPacketSize   = 1400 // with its frame: no fragments
)

// Offsets of a frame's fields.
const (
	versionOffset  = 2
	kindOffset     = 3
	fleetOffset    = 4
	processOffset  = 12
	sequenceOffset = 20
	checkOffset    = 28
)

type frameKind byte

const (
	framePacket frameKind = 1
	frameStream frameKind = 2
)

type frame struct {
	kind     frameKind
	fleet    uint64
	process  uint64 // of the sender, drawn at its start
	sequence uint64 // from 1, never twice
	payload  []byte
}

// Why a frame is dropped.
var (
	errMalformed = errors.New("malformed")
	errVersion   = errors.New("another protocol version")
	errForeign   = errors.New("another fleet")
	errOversized = errors.New("oversized")
	errReplayed  = errors.New("replayed")
)

// frameCheck is the check of a frame: half of a hash over its header and its payload.
func frameCheck(header, payload []byte) uint32 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.Write(header) // a digest's writes never fail
	_, _ = digest.Write(payload)
	return uint32(digest.Sum64())
}

// append adds the frame's bytes to b.
func (f *frame) append(b []byte) []byte {
	start := len(b)
	b = append(b, frameMagic...)
	b = append(b, frameVersion, byte(f.kind))
	b = binary.BigEndian.AppendUint64(b, f.fleet)
	b = binary.BigEndian.AppendUint64(b, f.process)
	b = binary.BigEndian.AppendUint64(b, f.sequence)
	b = binary.BigEndian.AppendUint32(b, frameCheck(b[start:], f.payload))
	return append(b, f.payload...)
}

// parseFrame reads a frame of a fleet. The payload is a part of b.
func parseFrame(b []byte, fleet uint64) (f frame, err error) {
	if len(b) < frameHeaderSize || string(b[:versionOffset]) != frameMagic {
		return f, errMalformed
	}
	if b[versionOffset] != frameVersion {
		return f, errVersion
	}
	f.kind = frameKind(b[kindOffset])
	f.fleet = binary.BigEndian.Uint64(b[fleetOffset:])
	f.process = binary.BigEndian.Uint64(b[processOffset:])
	f.sequence = binary.BigEndian.Uint64(b[sequenceOffset:])
	f.payload = b[frameHeaderSize:]
	check := binary.BigEndian.Uint32(b[checkOffset:])
	validKind := f.kind == framePacket || f.kind == frameStream
	if check != frameCheck(b[:checkOffset], f.payload) || !validKind {
		return f, errMalformed
	}
	if f.fleet != fleet {
		return f, errForeign
	}
	return f, nil
}
