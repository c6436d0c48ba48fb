package membership

const replayWindowSize = 64

// replayWindow remembers which sequence numbers of a sender have come: all below the newest 64, and a bit for each of
// these. The zero value has seen none.
type replayWindow struct {
	newest uint64
	bits   uint64 // bit i: newest-i has come
}

// accept reports whether a number comes for the first time, as far as the window reaches back, and remembers it.
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

// advance moves the window to a new newest number.
func (w *replayWindow) advance(sequence uint64) {
	if shift := sequence - w.newest; shift < replayWindowSize {
		w.bits = w.bits<<shift | 1
	} else {
		w.bits = 1
	}
	w.newest = sequence
}

// replayGuard is a window for each sender.
type replayGuard struct {
	windows map[uint64]*replayWindow // by process
}

func newReplayGuard() replayGuard {
	return replayGuard{windows: map[uint64]*replayWindow{}}
}

// accept reports whether a sender's number comes for the first time. Beyond the bound of senders any window makes room:
// a sender that is still there gets a new one.
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
