// The endpoint list as discovery encodes it.

package node

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"

	"keelusher/policy"
)

// maxListSize is the maximum size of a list from discovery, in bytes.
const maxListSize = 4 << 20

// endpointList is the complete list of endpoints, or the changes since an earlier version.
type endpointList struct {
	Version   int64            `json:"seq"`
	Snapshot  bool             `json:"whole"` // the list is complete: endpoints missing from it are removed
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

// endpoint returns the entry in the policy's form. An endpoint with an unknown state counts as draining, so that
// nothing is sent to it.
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

// asSnapshot returns a copy of the list that is marked as complete.
func (l endpointList) asSnapshot() endpointList {
	l.Snapshot = true
	return l
}

var errNoEndpoints = errors.New("the endpoint list has no field hosts")

// parseEndpointList parses the text of an endpoint list. A list without the field of the endpoints is an error: as a
// snapshot it would remove all endpoints of the node.
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

// lineKind says what a line of a watch means.
type lineKind int

const (
	lineHeartbeat lineKind = iota // an empty line outside a list
	linePartial                   // a line of a list whose last line is still to come
	lineComplete                  // the last line of a list
)

// listAssembler joins the lines of a watch into lists.
type listAssembler struct {
	partial []byte // the lines so far of an incomplete list; nil if there is none
}

// add takes the next line of a watch and returns its kind. If it is the last line of a list, add also returns the text
// of that list.
func (a *listAssembler) add(line []byte) (lineKind, []byte) {
	if len(line) == 0 && a.partial == nil {
		return lineHeartbeat, nil
	}
	a.partial = append(a.partial, line...)
	// An empty line ends a list, even an incomplete one.
	if len(line) > 0 && len(a.partial) <= maxListSize && !listEnded(line, a.partial) {
		a.partial = append(a.partial, '\n')
		return linePartial, nil
	}
	list := a.partial
	a.partial = nil
	return lineComplete, list
}

// listEnded reports whether a list is complete or malformed; line is its last line so far. To save work, it decodes the
// list only if that line ends with a closing brace.
func listEnded(line, list []byte) bool {
	if !bytes.HasSuffix(bytes.TrimRight(line, " \t\r"), []byte("}")) {
		return false
	}
	var value json.RawMessage
	return !errors.Is(json.NewDecoder(bytes.NewReader(list)).Decode(&value), io.ErrUnexpectedEOF)
}
