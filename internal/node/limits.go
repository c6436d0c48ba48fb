// The limits on the file descriptors of a node, and how the processes of a hand-over share the limits.

package node

import (
	"keelusher/internal/admin"
	"keelusher/internal/membership"
)

const (
	// baseReservedDescriptors is the number of descriptors for the listeners, discovery, logs, the runtime and the admin
	// endpoint.
	baseReservedDescriptors = 24 + admin.MaxConnections
	defaultDescriptorLimit  = 1024 // if the configuration sets none
	minConnections          = 4    // smallest limit on connections to clients, and on those to servers, for each process
)

// reservedDescriptors returns how many descriptors are neither for clients nor for servers.
func (c *Config) reservedDescriptors() int {
	if c.hasMembership() {
		return baseReservedDescriptors + membership.MaxDescriptors
	}
	return baseReservedDescriptors
}

// clientConnectionLimit returns how many of the given descriptors are for clients' connections.
func (c *Config) clientConnectionLimit(descriptors int) int {
	return (descriptors - c.reservedDescriptors()) * 5 / 8
}

// adjustProcessCount adds change to the number of other processes that share the limits, and adjusts this process's
// share.
func (n *Node) adjustProcessCount(change int) {
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
