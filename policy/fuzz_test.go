package policy

import (
	"fmt"
	"testing"
	"time"
)

// FuzzHandle checks that no sequence of events makes a Balancer panic.
func FuzzHandle(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4, 5, 6, 7, 8, 9})
	f.Add([]byte{1, 1, 1, 0, 2, 2, 2, 250, 3, 17, 5, 5})
	f.Fuzz(func(t *testing.T, data []byte) {
		set := testSettings()
		b, err := New(set, 1)
		if err != nil {
			t.Fatal(err)
		}
		now, endpoints := time.Duration(0), testEndpoints(4)
		for i, x := range data {
			id := fmt.Sprint("r", x%5)
			switch x % 7 {
			case 0:
				endpoints[int(x/7)%4].State = EndpointState(x % 3)
				b.Handle(now, EndpointUpdate{Snapshot: x%2 == 0, Endpoints: endpoints[:int(x)%5]})
			case 1, 2:
				b.Handle(now, Request{ID: id, Class: set.Classes[x%3].Name, Deadline: now + time.Duration(x)*msec})
			case 3:
				b.Handle(now, AttemptEnded{ID: id, Attempt: int(x%4) - 1, Result: AttemptResult(x % 9), Answered: x%2 == 0})
			case 4:
				b.Handle(now, TimerFired{Token: "r:" + id})
			case 5:
				b.Handle(now, ClientDisconnected{ID: id})
			case 6:
				b.Handle(now, ResponseStarted{ID: id, Attempt: i % 3})
			}
			now += time.Duration(x) * msec / 4
		}
	})
}
