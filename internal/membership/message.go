// What councils say to each other.

package membership

import (
	"encoding/json"
	"time"
)

// message is what councils say to each other.
type message struct {
	From    string   `json:"f"`
	Process uint64   `json:"p"`
	Epoch   Epoch    `json:"e"`
	Roster  []string `json:"r,omitempty"` // of the epoch, for one that may lack it
	Prev    []string `json:"b,omitempty"`
	Base    Epoch    `json:"b0,omitzero"`  // instead of the roster: an epoch that the receiver has had,
	Next    *delta   `json:"bn,omitempty"` // what makes the roster of that one's,
	Last    *delta   `json:"bl,omitempty"` // and what makes the one before, while the change does not hold
	Missing []string `json:"m,omitempty"`  // of the roster, as the sender sees it; the first few
	Digest  uint64   `json:"d,omitempty"`  // of the sender's view

	Kind  messageKind     `json:"k,omitempty"`
	For   uint64          `json:"t,omitempty"` // the process whose clock a poll's Vote or a vote's Poll is
	Poll  time.Duration   `json:"q,omitempty"` // the leader's clock at the poll
	Vote  time.Duration   `json:"v,omitempty"` // the voter's clock at the vote; in a poll, at its last one
	Left  time.Duration   `json:"l,omitempty"` // in a poll: for how long from that vote's coming the majority is certain
	Holds bool            `json:"h,omitempty"` // in a poll: the leader has the majority, and its roster holds
	Whole bool            `json:"w,omitempty"` // in a poll: all of the roster live
	Body  json.RawMessage `json:"y,omitempty"`
	About string          `json:"a,omitempty"` // in an inquiry: the process, by its name within memberlist
}

type messageKind int

func (c *council) message(kind messageKind, digest uint64) message {
	return message{From: c.self, Process: c.process, Epoch: c.epoch, Missing: c.missed, Digest: digest, Kind: kind}
}
