package membership

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"testing"
	"time"
)

var wireEpoch = Epoch{Number: 7, Leader: "n1"}

// wireMessage is a message with every field set.
var wireMessage = message{
	From:          "n1",
	Process:       2,
	Epoch:         wireEpoch,
	MemberList:    []string{"a"},
	Previous:      []string{"b"},
	BaseEpoch:     Epoch{6, "n0"},
	ListDelta:     &delta{Add: []string{"c"}, Remove: []string{"d"}},
	PreviousDelta: &delta{Add: []string{"e"}},
	Missing:       []string{"f"},
	Digest:        9,
	Kind:          kindVote,
	TargetProcess: 10,
	HeartbeatAt:   11,
	VoteAt:        12,
	Remaining:     13,
	HasMajority:   true,
	Complete:      true,
	Body:          json.RawMessage(`{"x":1}`),
	Subject:       "n1~0a",
}

// wireMember is a member with every field set.
var wireMember = Member{
	Name:        "n",
	State:       Dead,
	Zone:        "z",
	Region:      "r",
	Tier:        1,
	Incarnation: 2,
	Version:     "v",
	Config:      "c",
	Address:     "a",
	Age:         3,
	Suppressed:  true,
}

// Guards against a change of any encoding that goes over the network or to operators. Processes of older builds run in
// the same fleet and must be able to read it.
func TestWireForms(t *testing.T) {
	for name, form := range map[string]struct {
		value any
		want  string
	}{
		"message": {wireMessage, `{"f":"n1","p":2,"e":{"number":7,"leader":"n1"},"r":["a"],"b":["b"],` +
			`"b0":{"number":6,"leader":"n0"},"bn":{"a":["c"],"d":["d"]},"bl":{"a":["e"]},"m":["f"],"d":9,` +
			`"k":2,"t":10,"q":11,"v":12,"l":13,"h":true,"w":true,` +
			`"y":{"x":1},"a":"n1~0a"}`},
		"kinds": {[]messageKind{kindMemberList, kindHeartbeat, kindVote, kindStepDown, kindStepDownAck, kindVoteReleased,
			kindProbe, kindProbeReply, kindIndirectAck, kindUserMessage, kindLeaving, kindLeavingAck},
			`[0,1,2,3,4,5,6,7,8,9,10,11]`},
		"full state": {fullState{wireEpoch, []string{"a"}, []string{"b"}, map[string]uint64{"a": 1}, nil},
			`{"e":{"number":7,"leader":"n1"},"r":["a"],"b":["b"],"h":{"a":1}}`},
		"full state with a leave": {fullState{wireEpoch, []string{"a"}, nil, map[string]uint64{}, []string{"c~01"}},
			`{"e":{"number":7,"leader":"n1"},"r":["a"],"h":{},"l":["c~01"]}`},
		"metadata": {metadata{1, phaseAlive, "z", "r", 2, "v", "d"}, `{"i":1,"p":"a","z":"z","r":"r","t":2,"v":"v","d":"d"}`},
		"phases":   {[]string{phaseJoining, phaseAlive, phaseLeaving}, `["j","a","l"]`},
		"member": {wireMember, `{"name":"n","state":"gone","zone":"z","region":"r","tier":1,"incarnation":2,"version":"v",` +
			`"config":"c","address":"a","age_ns":3,"held":true}`},
		"states": {[]State{Joining, Alive, Suspect, Dead, Left, Conflict},
			`["joining","alive","suspect","gone","left","conflict"]`},
		"sides":        {[]PartitionSide{Isolated, Minority, Majority, Complete}, `["alone","minority","majority","whole"]`},
		"counters":     {Counters{}, `{"states":null,"packets_out":0,"bytes_out":0,"dropped":null,"health":0}`},
		"disagreement": {Disagreement{"n", []string{"x"}, 1}, `{"with":"n","about":["x"],"for_ns":1}`},
	} {
		text, err := json.Marshal(form.value)
		if err != nil {
			t.Fatal(err)
		}
		if string(text) != form.want {
			t.Errorf("%s is encoded as\n%s, want\n%s", name, text, form.want)
		}
	}
}

// Guards against a change of the frame's byte format, which processes of older builds read.
func TestFrameBytes(t *testing.T) {
	packet := frame{kind: framePacket, fleet: 1, process: 2, sequence: 3, payload: []byte("x")}
	const want = "716d0201000000000000000100000000000000020000000000000003d6a7de0a78"
	if got := hex.EncodeToString(packet.append(nil)); got != want {
		t.Errorf("the frame is %s, want %s", got, want)
	}
}

// Guards against a refactoring that changes what the quorum sends: the messages of random runs with fixed seeds must
// stay the same, byte for byte and in the same order.
func TestRandomRunSendsRecordedMessages(t *testing.T) {
	recorded := fnv.New64a()
	for seed := range 12 {
		model := newQuorumModel(t, uint64(seed), 2+seed%8)
		model.record = func(from, to string, m message) {
			text, err := json.Marshal(m)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = fmt.Fprintf(recorded, "%v %s %s %s %v\n", model.now, from, to, text, model.sides()) // never fails
		}
		for range 12 {
			model.injectFault()
			model.advance(time.Duration(model.random.Int64N(int64(6 * time.Second))))
		}
		model.repair()
		model.until("all are complete", 30*time.Second, model.healed)
	}
	const want = uint64(0x993a159251c3122f)
	if got := recorded.Sum64(); got != want {
		t.Errorf("hash of all messages sent is %#x, want %#x", got, want)
	}
}
