// Command balancer-sim makes the decisions of package policy for the simulator: it reads batches of events on standard
// input, and writes one reply to each on standard output.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"keelusher/internal/simulator"
	"keelusher/policy"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintf(os.Stderr, "balancer-sim: %v\n", err)
		os.Exit(1)
	}
}

// run serves batches until the input ends. A reply is written complete or not at all.
func run(in io.Reader, out io.Writer) error {
	decoder := simulator.NewDecoder(in)
	h := newHost(out)
	for {
		m, err := decoder.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.handle(&m); err != nil {
			return err
		}
	}
}

// host runs the simulator's instances, each of which has a Balancer.
type host struct {
	encoder   *simulator.Encoder
	balancers map[int]*policy.Balancer // by instance
	now       time.Duration            // of the current batch
}

func newHost(out io.Writer) *host {
	return &host{
		encoder:   simulator.NewEncoder(out),
		balancers: map[int]*policy.Balancer{},
	}
}

func (h *host) handle(m *simulator.Message) error {
	switch m.Kind {
	case simulator.BatchStart:
		h.now = m.Now
	case simulator.InstanceStart:
		return h.startInstance(m)
	case simulator.InstanceKilled:
		delete(h.balancers, m.Instance)
	case simulator.PolicyEvent:
		h.handleEvent(m.Instance, m.Event)
	case simulator.BatchEnd:
		return h.encoder.Flush()
	}
	return nil
}

func (h *host) startInstance(m *simulator.Message) error {
	balancer, err := policy.New(m.Settings, m.Seed)
	if err != nil {
		return fmt.Errorf("instance %d: %w", m.Instance, err)
	}
	h.balancers[m.Instance] = balancer
	return nil
}

// handleEvent ignores events of an instance that was killed or has not started.
func (h *host) handleEvent(instance int, event policy.Event) {
	balancer := h.balancers[instance]
	if balancer == nil {
		return
	}
	for _, action := range balancer.Handle(h.now, event) {
		h.encoder.Action(instance, action)
	}
}
