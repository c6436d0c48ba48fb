// The endpoint list in discovery's form.

package node

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"

	"keelusher/policy"
)

// maxListSize bounds a list from discovery, in bytes.
const maxListSize = 4 << 20

// endpointList is the list of endpoints, or the changes since an earlier version of it.
type endpointList struct {
	Version   int64            `json:"seq"`
	Snapshot  bool             `json:"whole"` // complete: endpoints that it does not name are removed
	Endpoints []listedEndpoint `json:"hosts"`
}

// listedEndpoint is one endpoint of a list.
type listedEndpoint struct {
	ID              string  `json:"host"`
	Address         string  `json:"dial"`
	Zone            string  `json:"site"`
	MachineType     string  `json:"class"`
	Cell            int     `json:"block"`
	Health          string  `json:"health"`
	StartedAtMillis float64 `json:"born_ms"`
}

// endpoint converts an entry for the policy. An unknown state counts as draining, so that nothing is sent there.
func (e listedEndpoint) endpoint() policy.Endpoint {
	endpoint := policy.Endpoint{
		ID:          e.ID,
		Zone:        e.Zone,
		MachineType: e.MachineType,
		Cell:        e.Cell,
		StartedAt:   millis(e.StartedAtMillis),
	}
	switch e.Health {
	case "in_service":
		endpoint.State = policy.Ready
	case "terminated":
		endpoint.State = policy.Removed
	default:
		endpoint.State = policy.Draining
	}
	return endpoint
}

// asSnapshot returns the list marked as complete.
func (l endpointList) asSnapshot() endpointList {
	l.Snapshot = true
	return l
}

var errNoEndpoints = errors.New("no hosts are named")

// parseEndpointList parses a complete list. One without endpoints is an error, for it would empty the node's list.
func parseEndpointList(text []byte) (endpointList, error) {
	var list endpointList
	if err := json.Unmarshal(text, &list); err != nil {
		return list, err
	}
	if list.Endpoints == nil {
		return list, errNoEndpoints
	}
	return list, nil
}

// lineKind is what a line of a watch is.
type lineKind int

const (
	lineHeartbeat lineKind = iota // empty, outside a list
	linePartial                   // more lines of the list follow
	lineComplete                  // the last line of a list
)

// listAssembler joins the lines of a watch to lists.
type listAssembler struct {
	partial []byte // the lines of a list that is not complete; nil: none
}

// add takes the next line. With the last line of a list it returns that list.
func (a *listAssembler) add(line []byte) (lineKind, []byte) {
	if len(line) == 0 && a.partial == nil {
		return lineHeartbeat, nil
	}
	a.partial = append(a.partial, line...)
	// An empty line ends a list, whatever came before it.
	if len(line) > 0 && len(a.partial) <= maxListSize && !listEnded(line, a.partial) {
		a.partial = append(a.partial, '\n')
		return linePartial, nil
	}
	list := a.partial
	a.partial = nil
	return lineComplete, list
}

// listEnded reports whether a list is complete, or malformed, with its last line. It parses the list only where that
// line can be the end of one.
func listEnded(line, list []byte) bool {
	if !bytes.HasSuffix(bytes.TrimRight(line, " \t\r"), []byte("}")) {
		return false
	}
	var value json.RawMessage
	return !errors.Is(json.NewDecoder(bytes.NewReader(list)).Decode(&value), io.ErrUnexpectedEOF)
}
