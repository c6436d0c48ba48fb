package main

// Settings in the form that a node gets them, as the site files give them for one node before the first tier.

const saskatoonSettings = `{"balancers":1,
 "blend":{"whole":0.75,"worst-class":0.1,"worst-tenant":0.1,"worst-window":0.05},
 "callers":{"marks-retry":false},
 "family":"chain","family-info":{"passes-deadline":true},
 "lanes":[
  {"deadline-ms":6000,"effect":"read_like","key-scope":"all","late-share":0,"name":"calendar-view","stream":false,
   "target-ms":2500,"window-ms":5000,"worth":1},
  {"deadline-ms":6000,"effect":"non_idempotent","key-scope":"all","late-share":0,"name":"slot-booking","stream":false,
   "target-ms":2500,"window-ms":5000,"worth":1}],
 "limits":{"cancelling":true,"conn-idle-ms":10000,"connect-timeout-ms":250,"cpu-us-per-request":0,"cpu-us-per-s":525473,
  "max-attempts":5,"max-retry-after-ms":2000,"max-streams":1,"may-probe":true,"open-cap":26273,"peers":false,
  "retry-after":true,"second-copies":true},
 "localities":["thorvaldson","kirk-hall"],"me":0,"over-share-worth":0.05,"registry-mode":"on_request",
 "rules":{"answer-slack-ms":20,"ask-within-ms":10000,"cold-from":0.38,"fall-ms":3000,"fall-multiple":4,
  "stop-sending-within-ms":3000,"warm-after-ms":8500},
 "shapes":["front-small"],"telemetry":{"fields":[],"via":"silent"},
 "tenants":[{"name":"wheatland-winds","quota-per-s":7,"share":0.14},{"name":"aspen-brass","quota-per-s":7,"share":0.14}],
 "tick-ms":5,"tier":0,"tiers":["front","schedule","rooms"],"weights":"silent","worth-by":"request","zone":"thorvaldson"}`

const kelownaSettings = `{"balancers":1,
 "blend":{"whole":0.6,"worst-class":0.1,"worst-tenant":0.1,"worst-window":0.2},
 "callers":{"marks-retry":true},
 "family":"chain","family-info":{"passes-deadline":true},
 "lanes":[
  {"deadline-ms":6000,"effect":"read_like","key-scope":"all","late-share":0.5,"name":"block-view","stream":false,
   "target-ms":2500,"window-ms":5000,"worth":5},
  {"deadline-ms":6000,"effect":"read_like","key-scope":"all","late-share":0.5,"name":"brix-update","stream":false,
   "target-ms":2500,"window-ms":5000,"worth":3},
  {"deadline-ms":6000,"effect":"non_idempotent","key-scope":"all","late-share":0.5,"name":"bin-weighin","stream":false,
   "target-ms":2500,"window-ms":5000,"worth":8}],
 "limits":{"cancelling":true,"conn-idle-ms":30000,"connect-timeout-ms":250,"cpu-us-per-request":0,"cpu-us-per-s":500000,
  "max-attempts":3,"max-retry-after-ms":2000,"max-streams":1,"may-probe":false,"open-cap":26273,"peers":false,
  "retry-after":true,"second-copies":false},
 "localities":["kelowna-dc"],"me":0,"over-share-worth":0.1,"registry-mode":"on_request",
 "rules":{"answer-slack-ms":20,"ask-within-ms":10000,"cold-from":0.33,"fall-ms":1000,"fall-multiple":3,
  "stop-sending-within-ms":250,"warm-after-ms":8200},
 "shapes":["front-fast","front-mid"],"telemetry":{"fields":[],"via":"silent"},
 "tenants":[{"name":"okanagan-ridge","quota-per-s":40,"share":0.59},{"name":"similkameen-bench","quota-per-s":15,"share":0.22},
  {"name":"golden-mile-estate","quota-per-s":13,"share":0.19}],
 "tick-ms":5,"tier":0,"tiers":["log-front","log-logic","log-store"],"weights":"silent","worth-by":"request","zone":"kelowna-dc"}`

// site is a deployment: the settings of its nodes, and the words that its clients and its discovery use.
type site struct {
	name     string
	settings string
	zone     string
	kind     string // of the machines of the first tier
	tenant   string
	safe     string // a class that is safe to repeat
	unsafe   string // the class that must never run twice
}

var (
	saskatoon = site{
		name:     "saskatoon-main",
		settings: saskatoonSettings,
		zone:     "thorvaldson",
		kind:     "front-small",
		tenant:   "wheatland-winds",
		safe:     "calendar-view",
		unsafe:   "slot-booking",
	}
	kelowna = site{
		name:     "kelowna-main",
		settings: kelownaSettings,
		zone:     "kelowna-dc",
		kind:     "front-fast",
		tenant:   "okanagan-ridge",
		safe:     "block-view",
		unsafe:   "bin-weighin",
	}
)
