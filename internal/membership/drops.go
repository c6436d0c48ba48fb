package membership

import (
	"errors"
	"sync/atomic"
)

// DropCounters counts packets, messages and streams that were received and dropped, by reason. It is safe for
// concurrent use.
type DropCounters struct {
	Malformed atomic.Int64
	Version   atomic.Int64 // frames of another protocol version
	Foreign   atomic.Int64 // frames of another fleet
	Oversized atomic.Int64
	Replayed  atomic.Int64 // frames whose sequence number has been received before or is too old
	Flood     atomic.Int64 // packets over the rate limit, which are not parsed
	Full      atomic.Int64 // messages, packets and streams that a full queue or a busy receiver did not take
	Streams   atomic.Int64 // streams over the limit on open streams
}

// count increments the counter for the error with which a frame was rejected.
func (d *DropCounters) count(err error) {
	switch {
	case errors.Is(err, errVersion):
		d.Version.Add(1)
	case errors.Is(err, errForeign):
		d.Foreign.Add(1)
	case errors.Is(err, errOversized):
		d.Oversized.Add(1)
	case errors.Is(err, errReplayed):
		d.Replayed.Add(1)
	default:
		d.Malformed.Add(1)
	}
}

// byReason returns the counts by reason, under the names that the operators' interface uses.
func (d *DropCounters) byReason() map[string]int64 {
	return map[string]int64{
		"malformed": d.Malformed.Load(),
		"version":   d.Version.Load(),
		"foreign":   d.Foreign.Load(),
		"oversized": d.Oversized.Load(),
		"replayed":  d.Replayed.Load(),
		"flood":     d.Flood.Load(),
		"full":      d.Full.Load(),
		"streams":   d.Streams.Load(),
	}
}
