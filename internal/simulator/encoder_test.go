package simulator

import (
	"bytes"
	"testing"
	"time"

	"keelusher/policy"
)

func TestEncode(t *testing.T) {
	var out bytes.Buffer
	e := NewEncoder(&out)
	e.Action(3, policy.SendAttempt{ID: "a", Endpoint: "s", Timeout: 80500 * time.Microsecond})
	e.Action(5, policy.Reject{ID: "b"})
	if out.Len() > 0 {
		t.Errorf("Encoder wrote %q before Flush, want nothing", out.String())
	}
	if err := e.Flush(); err != nil {
		t.Fatal(err)
	}
	e.Action(5, policy.Fail{ID: "c"})
	e.Action(5, policy.SetTimer{At: 2 * time.Second, Token: "r:c"})
	e.Action(5, policy.WatchEndpoints{})
	if err := e.Flush(); err != nil {
		t.Fatal(err)
	}
	want := "instance\t3\nforward\ta\ts\t80.5\ninstance\t5\nturn_away\tb\t0\nyield\n" +
		"instance\t5\nreport_failure\tc\nremind\t2000\tr:c\nsubscribe\t1\nyield\n"
	if out.String() != want {
		t.Fatalf("replies: got %q, want %q", out.String(), want)
	}
}
