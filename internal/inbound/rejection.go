// Package inbound checks and reads requests from clients: it records the head, rejects bodies with an ambiguous end,
// parses the headers and reads the body with deadlines. It opens no connections and keeps no state between requests.
package inbound

// Rejection is the error for a request that is rejected before it reaches the policy.
type Rejection struct {
	Status int    // of the response
	Allow  string // value of the Allow header, if Status is http.StatusMethodNotAllowed
	Err    error  // reason; its text is sent to the client
}

// Reject returns a rejection with a status and a reason.
func Reject(status int, reason error) *Rejection { return &Rejection{Status: status, Err: reason} }

// Error implements error with the text that is sent to the client.
func (r *Rejection) Error() string { return r.Err.Error() }

// Unwrap returns the reason.
func (r *Rejection) Unwrap() error { return r.Err }
