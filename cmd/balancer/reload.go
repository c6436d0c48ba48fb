package main

import (
	"log/slog"
	"time"

	"keelusher/internal/node"
)

const (
	reloadRetryInterval = 250 * time.Millisecond
	reloadRetryPeriod   = 20 * time.Second // from the signal on
)

// reloader loads the configuration after a signal. It retries a file that cannot be read or is incomplete, because the
// node would otherwise stay with a discovery service that may no longer answer.
type reloader struct {
	path  string
	log   *slog.Logger
	apply func(node.Config)

	retryUntil  time.Time
	retry       <-chan time.Time // nil: no retry is due
	loggedError string           // the last one since the signal
}

func newReloader(path string, log *slog.Logger, apply func(node.Config)) *reloader {
	return &reloader{
		path:  path,
		log:   log,
		apply: apply,
	}
}

// handleSignal loads the configuration now.
func (r *reloader) handleSignal() {
	r.retryUntil = time.Now().Add(reloadRetryPeriod)
	r.loggedError = ""
	r.load()
}

// load applies the configuration, and schedules a retry if it cannot be loaded.
func (r *reloader) load() {
	r.retry = nil
	config, err := node.LoadConfig(r.path)
	if err == nil {
		r.apply(config)
		return
	}
	if err.Error() != r.loggedError { // once for each cause
		r.log.Error("the new configuration is invalid, the previous one stays in use", "err", err)
		r.loggedError = err.Error()
	}
	if time.Now().Before(r.retryUntil) {
		r.retry = time.After(reloadRetryInterval)
		return
	}
	r.log.Error("the new configuration is not retried any more; send SIGHUP once it is valid")
}
