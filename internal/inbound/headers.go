package inbound

import (
	"errors"
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"
	"strings"
	"time"

	"keelusher/policy"
)

// MaxBudget is the longest budget that a client may set for a request.
const MaxBudget = time.Hour

// MaxRequestID is the limit on the length of a request's ID, in bytes. IDs outlive their requests in timers and in the
// log.
const MaxRequestID = 255

var (
	errNoRequestID  = errors.New("X-Call-Id is missing")
	errLongID       = fmt.Errorf("X-Call-Id is over %d bytes", MaxRequestID)
	errUnknownClass = errors.New("X-Call-Class is missing or unknown")
	errBudgetSyntax = errors.New("want a number and m or u")
	errBudgetRange  = errors.New("out of range")
)

// ParseHeaders returns the policy's view of a request and the request's budget, both from its headers. The argument
// methods holds the HTTP method of each known class, by the name of the class. Errors are of type *Rejection.
func ParseHeaders(r *http.Request, methods map[string]string) (meta policy.Request, budget time.Duration, err error) {
	meta.ID = r.Header.Get("X-Call-Id")
	meta.Class = r.Header.Get("X-Call-Class")
	meta.Tenant = r.Header.Get("X-Caller")
	meta.IsRetry = r.Header.Get("X-Again") == "1"
	if meta.ID == "" {
		return meta, 0, Reject(http.StatusBadRequest, errNoRequestID)
	}
	if len(meta.ID) > MaxRequestID {
		return meta, 0, Reject(http.StatusBadRequest, errLongID)
	}
	// Servers answer requests of unknown classes with errors, which the policy would count as failures of the servers.
	method := methods[meta.Class]
	if method == "" {
		return meta, 0, Reject(http.StatusBadRequest, errUnknownClass)
	}
	if method != r.Method {
		rejection := Reject(http.StatusMethodNotAllowed, fmt.Errorf("the method of this class is %s", method))
		rejection.Allow = method
		return meta, 0, rejection
	}
	budget, err = ParseBudget(r.Header.Get("X-Budget"))
	if err != nil {
		return meta, 0, Reject(http.StatusBadRequest, fmt.Errorf("X-Budget: %w", err))
	}
	if key := r.Header.Get("X-Route-Hash"); key != "" {
		meta.Key, meta.HasKey = hashKey(key), true
	}
	return meta, budget, nil
}

// hashKey returns the hash of a key, by which the policy identifies it.
func hashKey(key string) uint64 {
	sum := fnv.New64a()
	sum.Write([]byte(key))
	return sum.Sum64()
}

// ParseBudget parses a duration given as a number and a unit, m for milliseconds or u for microseconds.
func ParseBudget(s string) (time.Duration, error) {
	unit := time.Millisecond
	number, ok := strings.CutSuffix(s, "m")
	if !ok {
		unit = time.Microsecond
		if number, ok = strings.CutSuffix(s, "u"); !ok {
			return 0, errBudgetSyntax
		}
	}
	value, err := strconv.ParseFloat(number, 64)
	if err != nil {
		return 0, errBudgetSyntax
	}
	value *= float64(unit)
	inRange := value > 0 && value <= float64(MaxBudget) // false for NaN too
	if !inRange {
		return 0, errBudgetRange
	}
	return time.Duration(value), nil
}

// connectionHeaders are the headers that apply to one connection only, or that the node sets itself.
var connectionHeaders = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
	"Expect",
	"X-Budget",
}

// ForwardableHeaders returns a copy of h without the headers that must not be forwarded to a server.
func ForwardableHeaders(h http.Header) http.Header {
	forwarded := h.Clone()
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			forwarded.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		forwarded.Del(name)
	}
	return forwarded
}
