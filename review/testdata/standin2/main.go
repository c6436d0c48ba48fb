// Command standin2 plays a case of the second independent review: stand-ins for clients, servers, discovery and the
// platform around a process of the node. It exits with 0 if the rule held, 1 if it was broken and 2 if the case could
// not run. With TROUBLE=0 in its environment it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"
	"time"
)

// The exit codes.
const (
	held        = 0
	broken      = 1
	couldNotRun = 2
)

// longest is the time after which a case counts as one that could not run.
const longest = 115 * time.Second

// play is one run of a case.
type play struct {
	*recorder
	directory string // temporary
	trouble   bool
	breaches  int
}

// breach records that the rule was broken.
func (p *play) breach(format string, args ...any) {
	p.breaches++
	p.line("BROKEN: "+format, args...)
}

// cases holds the cases by name. Their error means that the case could not run.
var cases = map[string]func(*play) error{
	"inner-request":    innerRequest,
	"half-heads":       halfHeads,
	"half-bodies":      halfBodies,
	"late-end":         lateEnd,
	"replaced-servers": replacedServers,
}

func main() {
	// The system ends a child with the thread that started it, and the main thread lives as long as the process.
	runtime.LockOSThread()
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		os.Exit(couldNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

// run plays a case, with its record in a folder, and returns the exit code.
func run(name, folder string) int {
	record, err := newRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	directory, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	defer os.RemoveAll(directory)
	go func() {
		ended := make(chan os.Signal, 1)
		signal.Notify(ended, os.Interrupt, syscall.SIGTERM)
		select {
		case <-ended:
			record.line("the case could not run: it was told to end")
		case <-time.After(longest):
			record.line("the case could not run: not over after %v", longest)
		}
		os.RemoveAll(directory)
		os.Exit(couldNotRun)
	}()
	p := &play{recorder: record, directory: directory, trouble: os.Getenv("TROUBLE") != "0"}
	p.line("case %s, with the disruption: %t", name, p.trouble)
	if err := cases[name](p); err != nil {
		p.line("the case could not run: %v", err)
		fmt.Fprintf(os.Stderr, "%s: the case could not run: %v\n", name, err)
		return couldNotRun
	}
	if p.breaches > 0 {
		p.line("the rule was broken, %d times", p.breaches)
		fmt.Printf("%s: the rule was broken, %d times; see record.txt\n", name, p.breaches)
		return broken
	}
	p.line("the rule held")
	fmt.Printf("%s: the rule held\n", name)
	return held
}
