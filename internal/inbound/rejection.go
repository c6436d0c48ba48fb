// Package inbound reads what clients send: the head of a request, whether the end of its body is unambiguous, and what
// its headers say. It opens no connection and keeps no state between requests.
package inbound

// Rejection is the error of a request that is rejected before the policy gets it.
type Rejection struct {
	Status int    // of the response
	Allow  string // the allowed method, if Status is http.StatusMethodNotAllowed
	Err    error  // its text is sent to the client
}

// Reject is a rejection with a status and a reason.
func Reject(status int, reason error) *Rejection { return &Rejection{Status: status, Err: reason} }

// Error implements error with the text that is sent to the client.
func (r *Rejection) Error() string { return r.Err.Error() }

// Unwrap gives the reason to errors.Is and errors.As.
func (r *Rejection) Unwrap() error { return r.Err }
