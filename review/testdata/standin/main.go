// Command standin runs one case of the review: it starts the node with the command of the deploy file, plays clients,
// servers, discovery and the platform around it, and exits with 0 if the rule held, 1 if it was broken, and 2 if the
// case could not run.
//
//	standin CASE ROOT FOLDER
//
// ROOT is the root of the repository, FOLDER gets record.txt. With TROUBLE=0 the disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// timeLimit ends a case that has not ended by itself.
const timeLimit = 110 * time.Second

// verdict is the outcome of a case that has run.
type verdict struct {
	broken bool
	reason string
}

// run is what a case gets.
type run struct {
	root    string // of the repository
	trouble bool   // the disruption takes place
	record  *recorder
	node    *platform // nil until startNode

	started atomic.Pointer[platform] // as node, for the end of an interrupted run
}

// cases holds each case by its name. The files of the cases fill it.
var cases = map[string]func(*run) (verdict, error){}

func main() {
	runtime.LockOSThread() // a node gets SIGKILL when the thread that started it ends
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "standin: want CASE ROOT FOLDER")
		os.Exit(exitNotRun)
	}
	record, err := newRecorder(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(exitNotRun)
	}
	r := &run{root: os.Args[2], trouble: os.Getenv("TROUBLE") != "0", record: record}
	record.printf("case %s, with the disruption: %v", os.Args[1], r.trouble)
	os.Exit(r.play(cases[os.Args[1]]))
}

// play runs a case and returns the exit code. All processes have ended when it returns.
func (r *run) play(play func(*run) (verdict, error)) (code int) {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	ended := make(chan struct{})
	go func() {
		select {
		case <-interrupted:
		case <-time.After(timeLimit):
		case <-ended:
			return
		}
		r.record.printf("NOT RUN: interrupted, or not over after %v", timeLimit)
		if node := r.started.Load(); node != nil {
			node.stop()
		}
		os.Exit(exitNotRun)
	}()
	defer close(ended)
	outcome, err := play(r)
	if r.node != nil {
		r.node.stop()
	}
	switch {
	case err != nil:
		r.record.printf("NOT RUN: %v", err)
		return exitNotRun
	case outcome.broken:
		r.record.printf("BROKEN: %s", outcome.reason)
		return exitBroken
	}
	r.record.printf("HELD: %s", outcome.reason)
	return exitHeld
}
