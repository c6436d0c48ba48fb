package policy

import (
	"testing"
	"time"
)

// A tenant over its quota must not take capacity from tenants within their quotas: its requests must wait in the queue
// behind the requests of those tenants, even if its own arrived first.
func TestRequestsWithinQuotaGoFirst(t *testing.T) {
	b := newBalancer(t, func(s *Settings) {
		s.Tenants, s.OverQuotaWeight = []Tenant{{Name: "big", Quota: 2}, {Name: "small", Quota: 2}}, 0.05
	})
	b.Handle(0, EndpointUpdate{Snapshot: true, Endpoints: testEndpoints(1)})
	b.subsets[0].limit.size = 1
	now := 10 * time.Second // each bucket is full: minQuotaBurst, three requests
	first := sendAttempts(b.Handle(now, Request{ID: "first", Class: "get", Tenant: "big", Deadline: now + time.Second}))
	for _, id := range []string{"second", "third"} {
		b.Handle(now, Request{ID: id, Class: "pay", Tenant: "big", Deadline: now + time.Second})
		if b.requests[id].overQuota {
			t.Errorf("request %s of the first three is over the quota", id)
		}
		b.Handle(now, ClientDisconnected{ID: id})
	}
	b.subsets[0].inFlight = int(initialLimitPerEndpoint*b.subsets[0].limit.fairShare) + 2
	b.subsets[0].limit.size = float64(b.subsets[0].inFlight) // the next answer leaves room for one attempt
	b.Handle(now, Request{ID: "within", Class: "get", Tenant: "small", Deadline: now + time.Second})
	b.Handle(now+msec, Request{ID: "over", Class: "get", Tenant: "big", Deadline: now + time.Second})
	b.Handle(now+msec, Request{ID: "unknown", Class: "get", Tenant: "none", Deadline: now + time.Second})
	if r := b.requests; r["first"].overQuota || r["within"].overQuota || !r["over"].overQuota || !r["unknown"].overQuota {
		t.Errorf("over quota: first %v, within %v, over %v, unknown %v; want false, false, true, true",
			r["first"].overQuota, r["within"].overQuota, r["over"].overQuota, r["unknown"].overQuota)
	}
	next := sendAttempts(endAttempt(b, now+10*msec, "first", first[0], Success))
	if len(next) == 0 || next[0].ID != "within" {
		t.Errorf("sent after an answer: %v, want request within first", next)
	}
	b.Handle(now+2*time.Second, Request{ID: "later", Class: "get", Tenant: "big", Deadline: now + 3*time.Second})
	if r := b.requests["later"]; r == nil || r.overQuota {
		t.Errorf("2 s later a request is not accepted as within its quota: %+v", r)
	}
}

// An empty bucket refills with time, up to its capacity, so that an idle tenant cannot save up an unlimited burst.
func TestTokenBucketRefills(t *testing.T) {
	bucket := &tokenBucket{quota: 8, rate: 4}
	taken := func(now time.Duration) int {
		count := 0
		for bucket.take(now, time.Second) {
			count++
		}
		return count
	}
	for _, c := range []struct {
		now  time.Duration
		want int
	}{{time.Minute, 4}, {time.Minute + 500*msec, 2}, {time.Minute + 600*msec, 0}, {time.Hour, 4}} {
		if got := taken(c.now); got != c.want {
			t.Errorf("at %v %d tokens were taken from the bucket, want %d", c.now, got, c.want)
		}
	}
	bucket.rate = 0.1
	if got := taken(2 * time.Hour); got != minQuotaBurst {
		t.Errorf("%d tokens were taken from the full bucket of a small quota, want %d", got, minQuotaBurst)
	}
}

// Without configured tenants, no request may count as over quota. If tenants are configured, the requests of an unknown
// tenant must count as over quota.
func TestTenantsWithoutQuota(t *testing.T) {
	if newQuotas(nil, 2).exceeded("any", time.Second, time.Second) {
		t.Error("a request is over quota though no tenant is configured")
	}
	if !newQuotas([]Tenant{{Name: "known", Quota: 10}}, 2).exceeded("unknown", time.Second, time.Second) {
		t.Error("a request of an unknown tenant is within quota though tenants are configured")
	}
}
