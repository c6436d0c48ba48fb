// The descriptors of a node, and how processes share the limits during a hand-over.

package node

import "keelusher/internal/membership"

const (
	// reservedDescriptors are for the listeners, discovery, logs, the runtime and the admin endpoint.
	reservedDescriptors    = 24 + adminMaxConnections
	defaultDescriptorLimit = 1024 // where the configuration sets none
	minConnections         = 4    // to clients and to servers, however many processes share the limit
)

// reservedDescriptors is how many descriptors are neither for clients nor for servers.
func (c *Config) reservedDescriptors() int {
	if c.hasMembership() {
		return reservedDescriptors + membership.MaxDescriptors
	}
	return reservedDescriptors
}

// clientConnectionLimit is how many of a number of descriptors are for clients' connections.
func (c *Config) clientConnectionLimit(descriptors int) int {
	return (descriptors - c.reservedDescriptors()) * 5 / 8
}

// changeProcesses changes the number of other processes that share the limits, and adapts this process's part.
func (n *Node) changeProcesses(change int) {
	n.sharingMutex.Lock()
	defer n.sharingMutex.Unlock()
	before := 1 + n.otherProcesses
	n.otherProcesses += change
	processes := 1 + n.otherProcesses
	n.buffers.requests.rescale(before, processes)
	n.buffers.responses.rescale(before, processes)
	descriptors := n.cfg.Sockets / processes
	clientConnections := max(minConnections, n.cfg.clientConnectionLimit(descriptors))
	n.inbound.setLimit(clientConnections)
	n.pool.setLimit(max(minConnections, descriptors-n.cfg.reservedDescriptors()-clientConnections))
	if n.cfg.ProcessesChanged != nil {
		n.cfg.ProcessesChanged(processes)
	}
}
