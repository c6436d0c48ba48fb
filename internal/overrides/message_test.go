package overrides

import (
	"encoding/json"
	"testing"
	"time"
)

// The encoding of messages must not change, because nodes of different builds form one fleet.
func TestWireFormat(t *testing.T) {
	version := Version{Term: 3, Leader: "b", Sequence: 2}
	override := Override{Kind: "evacuate", Scope: "z", Value: "v", Reason: "r", Author: "o"}
	for name, test := range map[string]struct {
		message Message
		want    string
	}{
		"every field": {
			message: Message{
				Kind:        KindPromise,
				From:        "a",
				Requester:   7,
				RequestedAt: 5 * time.Second,
				Version:     version,
				Term:        4,
				PromisedTo:  9,
				Entries:     []Entry{{ID: "x", Version: version, Override: override, Remaining: time.Minute}},
			},
			want: `{"k":4,"f":"a","p":7,"s":5000000000,"m":{"t":3,"l":"b","n":2},"t":4,"w":9,` +
				`"x":[{"id":"x","m":{"t":3,"l":"b","n":2},` +
				`"is":{"kind":"evacuate","scope":"z","value":"v","reason":"r","author":"o"},"left":60000000000}]}`,
		},
		"zero values": {
			message: Message{From: "a"},
			want:    `{"k":0,"f":"a","p":0,"s":0,"m":{"t":0,"l":"","n":0},"t":0}`,
		},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := json.Marshal(test.message)
			if err != nil || string(got) != test.want {
				t.Errorf("message: got %s, error %v\nwant %s", got, err, test.want)
			}
		})
	}
}
