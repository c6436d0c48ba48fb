package membership

import (
	"encoding/binary"
	"errors"

	"github.com/cespare/xxhash/v2"
)

// A frame carries one packet, or opens one stream. Its fields with their sizes in bytes, all numbers big-endian:
//
//	"qm" 2 | version 1 | kind 1 | fleet 8 | process 8 | sequence 8 | checksum 4 | payload
//
// The version is 2. The fleet field is the hash of the fleet's name. The checksum covers all fields before it and the
// payload. Processes of older builds read frames, so the format must not change unless the version does.
const (
	frameMagic        = "qm"
	frameVersion      = 2
	frameChecksumSize = 4
	frameHeaderSize   = 2 + 1 + 1 + 8 + 8 + 8 + frameChecksumSize
	maxPacketSize     = 1400 // bytes with the frame header, to avoid IP fragmentation
)

// Byte offsets of the fields in a frame.
const (
	versionOffset  = 2
	kindOffset     = 3
	fleetOffset    = 4
	processOffset  = 12
	sequenceOffset = 20
	checksumOffset = 28
)

type frameKind byte

const (
	framePacket frameKind = 1
	frameStream frameKind = 2
)

type frame struct {
	kind     frameKind
	fleet    uint64
	process  uint64 // number of the sending process, drawn at random when it starts
	sequence uint64 // starts at 1; a process never uses a number twice
	payload  []byte
}

// Errors for frames that are dropped.
var (
	errMalformed = errors.New("malformed")
	errVersion   = errors.New("unsupported protocol version")
	errForeign   = errors.New("frame of another fleet")
	errOversized = errors.New("oversized")
	errReplayed  = errors.New("replayed")
)

// frameChecksum returns the checksum of a frame: the low 32 bits of a hash of its header and its payload.
func frameChecksum(header, payload []byte) uint32 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.Write(header) // writes to a digest never fail
	_, _ = digest.Write(payload)
	return uint32(digest.Sum64())
}

// append appends the encoded frame to b.
func (f *frame) append(b []byte) []byte {
	start := len(b)
	b = append(b, frameMagic...)
	b = append(b, frameVersion, byte(f.kind))
	b = binary.BigEndian.AppendUint64(b, f.fleet)
	b = binary.BigEndian.AppendUint64(b, f.process)
	b = binary.BigEndian.AppendUint64(b, f.sequence)
	b = binary.BigEndian.AppendUint32(b, frameChecksum(b[start:], f.payload))
	return append(b, f.payload...)
}

// parseFrame decodes a frame, and returns an error unless it is valid and of the given fleet. The payload aliases b.
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
	checksum := binary.BigEndian.Uint32(b[checksumOffset:])
	validKind := f.kind == framePacket || f.kind == frameStream
	if checksum != frameChecksum(b[:checksumOffset], f.payload) || !validKind {
		return f, errMalformed
	}
	if f.fleet != fleet {
		return f, errForeign
	}
	return f, nil
}
