package simulator

import (
	"io"
	"strconv"
	"time"

	"keelusher/policy"
)

const initialReplyBytes = 1 << 16

// Encoder collects the lines of a reply, and writes a reply only once it is complete.
type Encoder struct {
	writer   io.Writer
	reply    []byte // the reply to the current batch
	instance int    // instance to which the last line belongs
}

// NewEncoder returns an Encoder that writes to writer.
func NewEncoder(writer io.Writer) *Encoder {
	return &Encoder{
		writer:   writer,
		reply:    make([]byte, 0, initialReplyBytes),
		instance: noInstance,
	}
}

// Action appends an action of an instance to the reply.
func (e *Encoder) Action(instance int, action policy.Action) {
	if instance != e.instance {
		e.addLine(wordReplyInstance, strconv.Itoa(instance))
		e.instance = instance
	}
	switch action := action.(type) {
	case policy.SendAttempt:
		e.addLine(wordSendAttempt, action.ID, action.Endpoint, milliseconds(action.Timeout))
	case policy.Reject:
		e.addLine(wordReject, action.ID, milliseconds(action.RetryAfter))
	case policy.Fail:
		e.addLine(wordFail, action.ID)
	case policy.SetTimer:
		e.addLine(wordSetTimer, milliseconds(action.At), action.Token)
	case policy.WatchEndpoints:
		e.addLine(wordWatchEndpoints, "1")
	}
}

// Flush completes the reply and writes it.
func (e *Encoder) Flush() error {
	e.addLine(wordReplyEnd)
	_, err := e.writer.Write(e.reply)
	e.reply = e.reply[:0]
	e.instance = noInstance
	return err
}

// addLine appends a line to the reply.
func (e *Encoder) addLine(word string, values ...string) {
	e.reply = append(e.reply, word...)
	for _, value := range values {
		e.reply = append(e.reply, '\t')
		e.reply = append(e.reply, value...)
	}
	e.reply = append(e.reply, '\n')
}

// milliseconds formats a duration as a decimal number of milliseconds.
func milliseconds(duration time.Duration) string {
	return strconv.FormatFloat(float64(duration)/float64(time.Millisecond), 'f', -1, 64)
}
