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

// decodeAll returns the messages of a text up to its end or the first error.
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

// decodeSingleRequest decodes a batch in which line is the only request.
func decodeSingleRequest(t *testing.T, line string) policy.Request {
	t.Helper()
	messages, err := decodeAll(t, "sync\t1\nabout\t0\n"+line+"\neob\n")
	if err != nil {
		t.Fatal(err)
	}
	request, ok := messages[1].Event.(policy.Request)
	if !ok {
		t.Fatalf("%q: got %+v", line, messages[1])
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
			Load:     &policy.Load{Busy: 3, Service: -1},
		}},
		{Kind: BatchEnd, Instance: 3},
	}
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("got %+v\nwant %+v", got, want)
	}
}

// The words of the simulator and the terms of package policy for values with names or numbers.
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
			t.Errorf("%s: got %v, %v, want %v", word, got, v.err, want)
		}
	}
	for number, want := range map[string]policy.EndpointState{
		"0": policy.Draining,
		"1": policy.Removed,
		"2": policy.Ready,
	} {
		v := newValues("item", number)
		if got := v.endpointState(0); got != want || v.err != nil {
			t.Errorf("%s: got %v, %v, want %v", number, got, v.err, want)
		}
	}
}

func TestInvalidInputIsNamed(t *testing.T) {
	for text, want := range map[string]string{
		"eob\n":                                "line 1: \"eob\" outside a batch",
		"sync\tx\n":                            "line 1: sync: value 1 is no time",
		"sync\t1\nhuh\t1\n":                    "line 2: \"huh\" before any about",
		"sync\t1\nabout\t1\nhuh\t1\n":          "line 3: unknown message \"huh\"",
		"sync\t1\nabout\t1\njob_in\ta\n":       "line 3: job_in: value 2",
		"sync\t1\nlist\t0\t2\nitem\ta\tb\n":    "value 4 is missing",
		"sync\t1\nlist\t77\t2\n":               "out of range",
		"sync\t1\n":                            "input ends inside a batch",
		"sync\t1\nabout\t1\nhello\t5\t{bad\n":  "settings",
		"sync\t1\nabout\t1\nannounce\t9\t0\t0": "input ends inside a batch",

		// A number that does not fit reads as the nearest that does, which is no list either.
		"sync\t1\nabout\t1\nannounce\t0\t99999999999999999999\n": "announce: value 2 is no whole number",
		"sync\t1\nabout\t1\nannounce\tx\t-1\n":                   "announce: value 1 is no whole number",
	} {
		if _, err := decodeAll(t, text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got %v, want %q", text, err, want)
		}
	}
}

func TestDecodeTenant(t *testing.T) {
	request := decodeSingleRequest(t, "job_in\tid\t9\t-\tc\t0\ta\t-")
	if request.Tenant != "a" {
		t.Errorf("got %+v", request)
	}
}

func TestDecodeKeyZero(t *testing.T) {
	request := decodeSingleRequest(t, "job_in\tid\t9\t0\ta\t0\t-\t-")
	if !request.HasKey || request.Key != 0 {
		t.Errorf("key 0 was lost: %+v", request)
	}
}

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
