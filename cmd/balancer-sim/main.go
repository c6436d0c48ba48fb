// Command balancer-sim runs package policy for a simulator: it reads batches of events from standard input, and writes
// a reply to each batch, with the policy's actions, to standard output.
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

// run handles batches until the end of the input. The reply to a batch is written only when it is complete.
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

// host runs one policy.Balancer for each simulated instance of a node.
type host struct {
	encoder   *simulator.Encoder
	balancers map[int]*policy.Balancer // by instance
	now       time.Duration            // simulated time of the current batch
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

// handleEvent passes an event to the instance's Balancer. Events of an instance that is not running are ignored.
func (h *host) handleEvent(instance int, event policy.Event) {
	balancer := h.balancers[instance]
	if balancer == nil {
		return
	}
	for _, action := range balancer.Handle(h.now, event) {
		h.encoder.Action(instance, action)
	}
}
