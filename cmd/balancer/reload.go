package main

import (
	"log/slog"
	"time"

	"keelusher/internal/node"
)

const (
	reloadRetryInterval = 250 * time.Millisecond
	reloadRetryPeriod   = 20 * time.Second // counted from the last signal
)

// reloader loads the configuration after a signal. If the file cannot be read or is incomplete it retries, because the
// node would otherwise keep using the old discovery service, which may be gone.
type reloader struct {
	path  string
	log   *slog.Logger
	apply func(node.Config)

	retryUntil  time.Time
	retry       <-chan time.Time // receives when a retry is due; nil: none is scheduled
	loggedError string           // last error logged since the signal
}

func newReloader(path string, log *slog.Logger, apply func(node.Config)) *reloader {
	return &reloader{
		path:  path,
		log:   log,
		apply: apply,
	}
}

// handleSignal loads the configuration, and allows retries for reloadRetryPeriod.
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
	if err.Error() != r.loggedError { // log each cause once
		r.log.Error("the new configuration is invalid, the previous one stays in use", "err", err)
		r.loggedError = err.Error()
	}
	if time.Now().Before(r.retryUntil) {
		r.retry = time.After(reloadRetryInterval)
		return
	}
	r.log.Error("the new configuration is not retried any more; send SIGHUP once it is valid")
}
