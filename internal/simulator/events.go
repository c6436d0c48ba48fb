package simulator

import (
	"fmt"
	"strings"

	"keelusher/policy"
)

// decodeEvent decodes a line with an event. An error is stored in v.
func (d *Decoder) decodeEvent(v *values) policy.Event {
	switch v.word {
	case wordEndpointUpdate:
		return d.decodeEndpointUpdate(v)
	case wordRequest:
		return decodeRequest(v)
	case wordTimerFired:
		return policy.TimerFired{Token: v.text(timerToken)}
	case wordAttemptEnded:
		return decodeAttemptEnded(v)
	case wordClientDisconnected:
		return policy.ClientDisconnected{ID: v.text(disconnectedRequestID)}
	case wordResponseStarted:
		return policy.ResponseStarted{
			ID:      v.text(responseRequestID),
			Attempt: v.integer(responseAttempt),
		}
	default:
		v.err = fmt.Errorf("unknown message %s", quote(v.word))
		return nil
	}
}

func decodeRequest(v *values) policy.Event {
	return policy.Request{
		ID:       v.text(requestID),
		Deadline: v.milliseconds(requestDeadline),
		Class:    v.text(requestClass),
		Tenant:   v.optionalText(requestTenant),
		IsRetry:  v.optionalInteger(requestFlags)&retryFlag != 0,
		Key:      v.optionalUnsigned(requestKey),
		HasKey:   v.optionalText(requestKey) != "",
	}
}

func decodeAttemptEnded(v *values) policy.Event {
	return policy.AttemptEnded{
		ID:       v.text(attemptRequestID),
		Endpoint: v.text(attemptEndpoint),
		Latency:  v.milliseconds(attemptLatency),
		Answered: v.text(attemptAnswered) == answeredFlag,
		Attempt:  v.integer(attemptNumber),
		Result:   v.attemptResult(attemptResult),
		Load:     v.load(attemptLoad),
	}
}

// decodeEndpointUpdate decodes an endpoint update, and resolves the list to which it refers by number.
func (d *Decoder) decodeEndpointUpdate(v *values) policy.Event {
	mode := v.integer(endpointUpdateMode)
	switch mode {
	case modeChanges, modeSnapshot, modeCachedSnapshot:
	case modeFailed:
		return policy.DiscoveryFailed{}
	default:
		v.fail(endpointUpdateMode, "is not an update mode")
		return nil
	}
	list := v.integer(endpointUpdateList)
	if list < 0 || list >= len(d.lists) {
		v.fail(endpointUpdateList, "is not a list number")
		return nil
	}
	return policy.EndpointUpdate{
		Snapshot:  mode != modeChanges,
		Cached:    mode == modeCachedSnapshot,
		Endpoints: d.lists[list],
	}
}

// readEndpointList reads the lines of an endpoint list. A later endpoint update refers to the list by its number.
func (d *Decoder) readEndpointList(v *values) error {
	number, length := v.integer(endpointListNumber), v.integer(endpointListLength)
	if v.err != nil {
		return v.err
	}
	if number < 0 || number >= len(d.lists) || length < 0 {
		return fmt.Errorf("endpoint list number or length out of range")
	}
	var endpoints []policy.Endpoint
	for i := range length {
		line, err := d.readLine()
		if err != nil {
			return fmt.Errorf("endpoint list ends after %d of %d items", i, length)
		}
		word, rest, _ := strings.Cut(line, "\t")
		if word != wordEndpoint {
			return fmt.Errorf("endpoint list: want item %d of %d, got %s", i+1, length, quote(word))
		}
		endpoint, err := decodeEndpoint(newValues(word, rest))
		if err != nil {
			return err
		}
		endpoints = append(endpoints, endpoint)
	}
	d.lists[number] = endpoints
	return nil
}

func decodeEndpoint(v *values) (policy.Endpoint, error) {
	endpoint := policy.Endpoint{
		ID:          v.text(endpointID),
		Zone:        v.text(endpointZone),
		MachineType: v.optionalText(endpointMachineType),
		Cell:        v.integer(endpointCell),
		StartedAt:   v.optionalMilliseconds(endpointStartedAt),
		State:       v.endpointState(endpointState),
	}
	return endpoint, v.err
}
