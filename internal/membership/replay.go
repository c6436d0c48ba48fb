package membership

const replayWindowSize = 64

// replayWindow records which sequence numbers of a sender have been received: one bit for each of the newest 64. Older
// numbers count as received. The zero value has received none.
type replayWindow struct {
	newest uint64
	bits   uint64 // bit i is set if newest-i has been received
}

// accept records a sequence number and reports whether it is new. Numbers below the window count as received, and 0 is
// not accepted, because numbers start at 1.
func (w *replayWindow) accept(sequence uint64) bool {
	if sequence == 0 {
		return false
	}
	if sequence > w.newest {
		w.advance(sequence)
		return true
	}
	age := w.newest - sequence
	if age >= replayWindowSize || w.bits>>age&1 == 1 {
		return false
	}
	w.bits |= 1 << age
	return true
}

// advance moves the window to a higher newest number.
func (w *replayWindow) advance(sequence uint64) {
	if shift := sequence - w.newest; shift < replayWindowSize {
		w.bits = w.bits<<shift | 1
	} else {
		w.bits = 1
	}
	w.newest = sequence
}

// replayGuard holds a replay window for each sender.
type replayGuard struct {
	windows map[uint64]*replayWindow // by process number
}

func newReplayGuard() replayGuard {
	return replayGuard{windows: map[uint64]*replayWindow{}}
}

// accept records a sender's sequence number, and reports whether it is new. If there are maxSenders windows already, a
// new sender displaces the window of an arbitrary other one, which gets an empty window if it sends again.
func (g *replayGuard) accept(process, sequence uint64) bool {
	window := g.windows[process]
	if window == nil {
		if len(g.windows) >= maxSenders {
			g.dropAny()
		}
		window = &replayWindow{}
		g.windows[process] = window
	}
	return window.accept(sequence)
}

func (g *replayGuard) dropAny() {
	for process := range g.windows {
		delete(g.windows, process)
		return
	}
}
