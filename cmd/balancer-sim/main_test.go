package main

import (
	"bytes"
	"strings"
	"testing"
)

const instanceStart = `hello	7	{"lanes":[{"name":"get","effect":"read_like","target-ms":500,"deadline-ms":900}],` +
	`"limits":{"max-attempts":3},"tick-ms":2,"tiers":["a"]}`

func TestRunAnswersABatch(t *testing.T) {
	in := "sync\t1\neob\nsync\t2\nabout\t0\n" + instanceStart + "\nlist\t0\t1\nitem\ts:1\tz\tk\t0\t2\t1\t0\n" +
		"announce\t2\t0\t1\njob_in\tid\t900\t-\tget\t0\t-\t-\neob\n"
	var out bytes.Buffer
	if err := run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	if got := out.String(); !strings.HasPrefix(got, "yield\ninstance\t0\nforward\tid\ts:1\t") ||
		!strings.HasSuffix(got, "yield\n") {
		t.Fatalf("replies are %q, want an empty reply and one that forwards the request", got)
	}
}

// Invalid input must end the program without a partial reply to the batch that contains it.
func TestInvalidInputLeavesNoPartialReply(t *testing.T) {
	for _, bad := range []string{"nonsense\n", "sync\t2\nabout\t0\njob_in\n", "sync\t2\nabout\t0\nhello\t7\t{}\neob\n"} {
		var out bytes.Buffer
		err := run(strings.NewReader("sync\t1\neob\n"+bad), &out)
		if err == nil {
			t.Errorf("input %q: got no error, want one", bad)
		}
		if out.String() != "yield\n" {
			t.Errorf("input %q: replies are %q, want only the empty reply to the first batch", bad, out.String())
		}
	}
}

// A killed instance must lose its state. After its restart the outcome of an earlier request has to be ignored, and a
// new request has to be queued, since the endpoint list is empty.
func TestKilledInstanceRestartsWithoutState(t *testing.T) {
	list := "list\t0\t1\nitem\ts:1\tz\tk\t0\t2\t1\t0\nannounce\t2\t0\t1\n"
	in := "sync\t2\nabout\t0\n" + instanceStart + "\n" + list + "job_in\told\t900\t-\tget\t0\t-\t-\neob\n" +
		"sync\t4\nabout\t0\ncrash_now\n" + instanceStart + "\nlist\t1\t0\nannounce\t2\t1\t1\n" +
		"outcome\told\ts:1\t2\t0\t0\tfailure\t-\njob_in\tnew\t900\t-\tget\t0\t-\t-\neob\n" +
		"sync\t890\nabout\t0\nring\tr:old\neob\nsync\t898\nabout\t0\nring\tr:new\neob\n"
	var out bytes.Buffer
	if err := run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	replies := strings.Split(out.String(), "yield\n")
	if len(replies) != 5 || !strings.Contains(replies[0], "forward\told") {
		t.Fatalf("replies are %q, want the first to forward the request", replies)
	}
	if strings.Contains(replies[1], "old") || !strings.Contains(replies[1], "remind") ||
		strings.Contains(replies[1], "forward") {
		t.Errorf("reply after the restart: %q, want only a timer for the new request", replies[1])
	}
	if replies[2] != "" || !strings.Contains(replies[3], "turn_away\tnew") {
		t.Errorf("replies to the timers: %q, %q, want none and a rejection of the new request", replies[2], replies[3])
	}
}
