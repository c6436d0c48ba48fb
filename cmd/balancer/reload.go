package main

import (
	"log/slog"
	"time"

	"keelusher/internal/node"
)

const (
	reloadAgain = 250 * time.Millisecond // after a configuration that could not be read
	reloadFor   = 20 * time.Second       // from the signal on
)

// reloader reads the configuration again after a signal. A file that cannot be read, or is half written, is tried again
// for a while: the discovery of before takes no calls any more, so to stay with it would mean to hear of nothing.
type reloader struct {
	path  string
	log   *slog.Logger
	apply func(node.Config)

	until time.Time        // tries go on until then
	again <-chan time.Time // the next one is due; nil: none is
	said  string           // the last error that was logged
}

// signalled reads the configuration now.
func (r *reloader) signalled() {
	r.until, r.said = time.Now().Add(reloadFor), ""
	r.try()
}

// try reads the configuration, and plans another try where that fails.
func (r *reloader) try() {
	r.again = nil
	cfg, err := node.LoadConfig(r.path)
	if err == nil {
		r.apply(cfg)
		return
	}
	if err.Error() != r.said { // once for each cause
		r.log.Error("the new configuration is of no use, the old one stays", "err", err)
		r.said = err.Error()
	}
	if time.Now().Before(r.until) {
		r.again = time.After(reloadAgain)
		return
	}
	r.log.Error("the new configuration is given up; signal again when it is mended")
}
