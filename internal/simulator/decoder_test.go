package simulator

import (
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"keelusher/policy"
)

const sampleBatch = "sync\t8412.25\nabout\t3\nlist\t0\t1\nitem\ts:1\tz\tk\t4\t2\t1.5\t6100.5\nannounce\t2\t0\t41\n" +
	"job_in\tid\t8652.25\t-\tget\t3\t-\t12.0\noutcome\tid\ts:1\t18.5\t1\t0\tsuccess\tbusy_reqs:3,odd:1\neob\n"

// decodeAll returns the messages of a text up to its end, or up to the first error.
func decodeAll(t *testing.T, text string) ([]Message, error) {
	t.Helper()
	d := NewDecoder(strings.NewReader(text))
	var messages []Message
	for {
		m, err := d.Next()
		if errors.Is(err, io.EOF) {
			return messages, nil
		}
		if err != nil {
			return messages, err
		}
		messages = append(messages, m)
	}
}

// decodeSingleRequest decodes a batch that consists of one request line.
func decodeSingleRequest(t *testing.T, line string) policy.Request {
	t.Helper()
	messages, err := decodeAll(t, "sync\t1\nabout\t0\n"+line+"\neob\n")
	if err != nil {
		t.Fatal(err)
	}
	request, ok := messages[1].Event.(policy.Request)
	if !ok {
		t.Fatalf("line %q: got message %+v, want a request", line, messages[1])
	}
	return request
}

func TestDecode(t *testing.T) {
	got, err := decodeAll(t, sampleBatch)
	if err != nil {
		t.Fatal(err)
	}
	endpoint := policy.Endpoint{
		ID:          "s:1",
		Zone:        "z",
		MachineType: "k",
		Cell:        4,
		StartedAt:   6100500 * time.Microsecond,
	}
	want := []Message{
		{Kind: BatchStart, Instance: -1, Now: 8412250 * time.Microsecond},
		{Kind: PolicyEvent, Instance: 3, Event: policy.EndpointUpdate{
			Snapshot:  true,
			Cached:    true,
			Endpoints: []policy.Endpoint{endpoint},
		}},
		{Kind: PolicyEvent, Instance: 3, Event: policy.Request{
			ID:       "id",
			Class:    "get",
			IsRetry:  true,
			Deadline: 8652250 * time.Microsecond,
		}},
		{Kind: PolicyEvent, Instance: 3, Event: policy.AttemptEnded{
			ID:       "id",
			Endpoint: "s:1",
			Answered: true,
			Latency:  18500 * time.Microsecond,
			Load:     &policy.Load{BusyRequests: 3, ServiceTime: -1},
		}},
		{Kind: BatchEnd, Instance: 3},
	}
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("messages: got %+v\nwant %+v", got, want)
	}
}

// Every word and number of an enumeration of the protocol decodes to its value in package policy.
func TestDecodeEnumerations(t *testing.T) {
	for word, want := range map[string]policy.AttemptResult{
		"success":     policy.Success,
		"failure":     policy.ServerError,
		"overloaded":  policy.Overloaded,
		"timed_out":   policy.TimedOut,
		"unreachable": policy.ConnectFailed,
		"broken":      policy.ConnectionLost,
		"withdrawn":   policy.Canceled,
		"void":        policy.NotSent,
	} {
		v := newValues("outcome", word)
		if got := v.attemptResult(0); got != want || v.err != nil {
			t.Errorf("attempt result %s: got %v, error %v, want %v", word, got, v.err, want)
		}
	}
	for number, want := range map[string]policy.EndpointState{
		"0": policy.Draining,
		"1": policy.Removed,
		"2": policy.Ready,
	} {
		v := newValues("item", number)
		if got := v.endpointState(0); got != want || v.err != nil {
			t.Errorf("endpoint state %s: got %v, error %v, want %v", number, got, v.err, want)
		}
	}
}

// The error for invalid input names the line or the problem.
func TestDecodeInvalidInput(t *testing.T) {
	for text, want := range map[string]string{
		"eob\n":                                "line 1: \"eob\" outside a batch",
		"sync\tx\n":                            "line 1: sync: value 1 is not a time",
		"sync\t1\nhuh\t1\n":                    "line 2: \"huh\" before any about",
		"sync\t1\nabout\t1\nhuh\t1\n":          "line 3: unknown message \"huh\"",
		"sync\t1\nabout\t1\njob_in\ta\n":       "line 3: job_in: value 2",
		"sync\t1\nlist\t0\t2\nitem\ta\tb\n":    "value 4 is missing",
		"sync\t1\nlist\t77\t2\n":               "out of range",
		"sync\t1\n":                            "input ends inside a batch",
		"sync\t1\nabout\t1\nhello\t5\t{bad\n":  "settings",
		"sync\t1\nabout\t1\nannounce\t9\t0\t0": "input ends inside a batch",

		// A value that is not an integer, or out of range, decodes to 0 or to the nearest integer, which may be invalid
		// for another reason: the error reports the first problem.
		"sync\t1\nabout\t1\nannounce\t0\t99999999999999999999\n": "announce: value 2 is not an integer",
		"sync\t1\nabout\t1\nannounce\tx\t-1\n":                   "announce: value 1 is not an integer",
	} {
		if _, err := decodeAll(t, text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("input %q: got error %v, want one that contains %q", text, err, want)
		}
	}
}

func TestDecodeTenant(t *testing.T) {
	request := decodeSingleRequest(t, "job_in\tid\t9\t-\tc\t0\ta\t-")
	if request.Tenant != "a" {
		t.Errorf("request with tenant \"a\": got %+v", request)
	}
}

// Key 0 is a key, not an absent one.
func TestDecodeKeyZero(t *testing.T) {
	request := decodeSingleRequest(t, "job_in\tid\t9\t0\ta\t0\t-\t-")
	if !request.HasKey || request.Key != 0 {
		t.Errorf("request with key 0: got %+v, want HasKey and key 0", request)
	}
}

// No input makes the decoder panic.
func FuzzDecode(f *testing.F) {
	f.Add(sampleBatch)
	f.Add("sync\t1\nabout\t0\ncrash_now\neob\n")
	f.Fuzz(func(_ *testing.T, text string) {
		d := NewDecoder(strings.NewReader(text))
		for range 1000 {
			if _, err := d.Next(); err != nil {
				return
			}
		}
	})
}
