// Package simulator decodes batches of events in the simulator's text protocol, and encodes the replies. It makes no
// routing decisions.
//
// A line is a word followed by values, separated by tabs. The protocol's words differ from the terms of package policy,
// and only this package maps them: protocol.go defines the words of lines and values, and the JSON tags in settings.go
// are those of the settings.
package simulator

import (
	"time"

	"keelusher/policy"
)

// Words that begin the lines of a batch.
const (
	wordBatchStart         = "sync"
	wordBatchEnd           = "eob"
	wordInstance           = "about" // selects the instance to which the following lines belong
	wordInstanceStart      = "hello"
	wordInstanceKilled     = "crash_now"
	wordEndpointList       = "list" // defines a numbered list; wordEndpointUpdate refers to the number
	wordEndpoint           = "item"
	wordEndpointUpdate     = "announce"
	wordRequest            = "job_in"
	wordTimerFired         = "ring"
	wordAttemptEnded       = "outcome"
	wordResponseStarted    = "flowing"
	wordClientDisconnected = "timed_out_client"
	wordHealthChecked      = "checked" // ignored: no health checks are sent
	wordInstanceMessage    = "mail"    // ignored: no messages between instances are sent
)

// Words that begin the lines of a reply.
const (
	wordReplyInstance  = "instance"
	wordSendAttempt    = "forward"
	wordReject         = "turn_away"
	wordFail           = "report_failure"
	wordSetTimer       = "remind"
	wordWatchEndpoints = "subscribe"
	wordReplyEnd       = "yield"
)

// absentValue marks a value that is not set.
const absentValue = "-"

// Positions of the values in a line, counted from 0 after the word.
const (
	batchStartTime = 0

	instanceNumber = 0

	instanceStartSeed = 0

	endpointListNumber = 0
	endpointListLength = 1

	endpointID          = 0
	endpointZone        = 1
	endpointMachineType = 2
	endpointCell        = 3
	endpointState       = 4
	endpointStartedAt   = 6

	endpointUpdateMode = 0
	endpointUpdateList = 1

	requestID       = 0
	requestDeadline = 1
	requestKey      = 2
	requestClass    = 3
	requestFlags    = 4
	requestTenant   = 5

	timerToken = 0

	attemptRequestID = 0
	attemptEndpoint  = 1
	attemptLatency   = 2
	attemptAnswered  = 3
	attemptNumber    = 4
	attemptResult    = 5
	attemptLoad      = 6

	responseRequestID = 0
	responseAttempt   = 3

	disconnectedRequestID = 0
)

// Modes of an endpoint update.
const (
	modeChanges        = 0 // the list holds only changed endpoints
	modeSnapshot       = 1 // the list is complete
	modeCachedSnapshot = 2 // the list is complete but may be out of date
	modeFailed         = 3 // discovery failed; there is no list
)

const (
	retryFlag    = 1 << 1 // in the flags of a request
	answeredFlag = "1"    // value at attemptAnswered if the endpoint has answered
)

// Names of the values in a load report. Other names are ignored.
const (
	loadBusy    = "busy_reqs"
	loadService = "svc_ms"
)

var endpointStates = map[int]policy.EndpointState{
	0: policy.Draining,
	1: policy.Removed,
	2: policy.Ready,
}

var attemptResults = map[string]policy.AttemptResult{
	"success":     policy.Success,
	"failure":     policy.ServerError,
	"overloaded":  policy.Overloaded,
	"timed_out":   policy.TimedOut,
	"unreachable": policy.ConnectFailed,
	"broken":      policy.ConnectionLost,
	"withdrawn":   policy.Canceled,
	"void":        policy.NotSent,
}

// MessageKind is the kind of a Message, which determines the fields that are set.
type MessageKind int

// Kinds of messages.
const (
	BatchStart     MessageKind = iota // Now is set
	InstanceStart                     // a new instance; Seed and Settings are set
	PolicyEvent                       // Event is set
	InstanceKilled                    // the instance loses its state
	Ignored                           // valid, but without effect on the policy
	BatchEnd                          // the batch is complete, and a reply is due
)

// Message is a decoded line of a batch. For an endpoint update, it includes the list to which the line refers.
type Message struct {
	Kind     MessageKind
	Instance int
	Now      time.Duration
	Seed     uint64
	Settings policy.Settings
	Event    policy.Event
}
