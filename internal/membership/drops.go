package membership

import (
	"errors"
	"sync/atomic"
)

// DropCounters count what was not taken from the network, by reason. They are safe for concurrent use.
type DropCounters struct {
	Malformed atomic.Int64
	Version   atomic.Int64 // of another protocol version
	Foreign   atomic.Int64 // of another fleet
	Oversized atomic.Int64
	Replayed  atomic.Int64
	Flood     atomic.Int64 // packets beyond the rate, unread
	Full      atomic.Int64 // a queue had no room
	Streams   atomic.Int64 // beyond the bound of open streams
}

// count counts a dropped frame by the reason that its error is.
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

// byReason gives the counts under their names in the operators' interface.
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
