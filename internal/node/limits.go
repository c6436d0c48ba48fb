// The limits on the connections of a node, from its file descriptors and its memory, and how the processes of a
// hand-over share the limits.

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

// connectionLimits are the limits on the connections of one process.
type connectionLimits struct{ clients, servers int }

// connectionLimits returns the limits of each of several processes that share the limits of the node in equal parts.
// Descriptors that neither the clients nor the servers can use for lack of memory stay unused.
func (c *Config) connectionLimits(processes int) connectionLimits {
	descriptors := c.Sockets / processes
	memory := memoryBytes(c.MemoryMB) / processes
	clients := (descriptors - c.reservedDescriptors()) * 5 / 8
	servers := descriptors - c.reservedDescriptors() - clients
	clients = min(clients, memory/clientConnectionMemoryDivisor/clientConnectionMemory)
	servers = min(servers, memory/serverConnectionMemoryDivisor/serverConnectionMemory)
	return connectionLimits{
		clients: max(minConnections, clients),
		servers: max(minConnections, servers),
	}
}

// adjustProcessCount adds change to the number of other processes that share the limits, and adjusts this process's
// share.
func (n *Node) adjustProcessCount(change int) {
	n.sharingMutex.Lock()
	defer n.sharingMutex.Unlock()
	before := 1 + n.otherProcesses
	n.otherProcesses += change
	processes := 1 + n.otherProcesses
	n.buffers.rescale(before, processes)
	connections := n.cfg.connectionLimits(processes)
	n.inbound.setLimit(connections.clients)
	n.pool.setLimit(connections.servers)
	if n.cfg.ProcessesChanged != nil {
		n.cfg.ProcessesChanged(processes)
	}
}
