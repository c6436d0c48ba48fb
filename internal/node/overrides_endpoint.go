// The admin endpoint's paths for overrides.

package node

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"keelusher/internal/admin"
	"keelusher/internal/overrides"
)

const (
	leaderReplyTimeout = 800 * time.Millisecond // lets the admin endpoint answer within a second
	maxOverrideBody    = 4 << 10                // bytes
)

// leaderTimeoutBody is the body of the answer if the leader's answer does not arrive in time, or the host has ended.
const leaderTimeoutBody = `{"error":"the leader does not answer; ask again, the id makes it safe"}`

// ServeHTTP answers /control/overrides and /control/overrides/ID.
func (o *overridesHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := strings.Trim(strings.TrimPrefix(r.URL.Path, admin.OverridesPath), "/")
	answers := make(chan overrideAnswer, 1)
	task := o.newTask(r, id, answers)
	if task == nil {
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	answer := overrideAnswer{Status: http.StatusServiceUnavailable, Body: json.RawMessage(leaderTimeoutBody)}
	if o.runTask(task) {
		select {
		case answer = <-answers:
		case <-time.After(leaderReplyTimeout):
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(answer.Status)
	_, _ = w.Write(append(answer.Body, '\n')) // fails only if the operator's client disconnects
}

// newTask returns the task that the host has to run for a request, nil if the path does not allow the method.
func (o *overridesHost) newTask(r *http.Request, id string, answers chan<- overrideAnswer) func(now time.Duration) {
	isCall := r.Method == http.MethodPut || r.Method == http.MethodDelete
	switch {
	case r.Method == http.MethodGet && id == "":
		return func(now time.Duration) { answers <- newOverrideAnswer(nil, o.page(now)) }
	case isCall && id != "":
		call, local, err := readOverrideCall(r, id)
		if err != nil {
			answers <- newOverrideAnswer(err, nil)
			return func(time.Duration) {}
		}
		return func(now time.Duration) { o.startCall(now, call, local, answers) }
	}
	return nil
}

// readOverrideCall reads an operator's request, and whether it concerns this process alone (local) or the fleet.
func readOverrideCall(r *http.Request, id string) (call overrideCall, local bool, err error) {
	call = overrideCall{ID: id, Revoke: r.Method == http.MethodDelete}
	if call.Revoke {
		return call, false, nil
	}
	var body struct {
		overrides.Override
		For      string             `json:"for"` // a duration such as 10m
		Replaces *overrides.Version `json:"replaces"`
	}
	decoder := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxOverrideBody))
	decoder.DisallowUnknownFields()
	if err = decoder.Decode(&body); err != nil {
		return call, false, fmt.Errorf("body: %w", err)
	}
	call.Override, call.Replaces = body.Override, body.Replaces
	if call.Duration, err = time.ParseDuration(body.For); err != nil {
		return call, false, fmt.Errorf("for: %w", err)
	}
	return call, r.URL.Query().Get("here") == "yes", nil
}
