package policy

import "time"

// minQuotaBurst is the minimum capacity of a token bucket, in requests. The traffic of one replica is uneven,
// and two simultaneous requests would use up a small quota.
const minQuotaBurst = 3

// quotas holds the token bucket of each tenant by name. If no tenant is configured, no request is over quota.
type quotas map[string]*tokenBucket

func newQuotas(tenants []Tenant, replicas float64) quotas {
	buckets := quotas{}
	for _, tenant := range tenants {
		buckets[tenant.Name] = &tokenBucket{
			quota: tenant.Quota,
			rate:  tenant.Quota / replicas,
		}
	}
	return buckets
}

// setReplicas sets the rate of each bucket to this replica's part of the quota.
func (q quotas) setReplicas(replicas float64) {
	for _, bucket := range q {
		bucket.rate = bucket.quota / replicas
	}
}

// exceeded takes a token from the bucket of a tenant, and reports whether there was none. A tenant that is
// not configured is always over quota.
func (q quotas) exceeded(tenant string, now, span time.Duration) bool {
	if len(q) == 0 {
		return false
	}
	bucket := q[tenant]
	return bucket == nil || !bucket.take(now, span)
}

// tokenBucket is this replica's part of a tenant's quota.
type tokenBucket struct {
	quota      float64 // requests a second, over all replicas
	rate       float64 // requests a second, at this replica
	tokens     float64 // requests
	refilledAt time.Duration
}

// take refills the bucket, takes a token, and reports whether there was one. The capacity of the bucket is
// what the rate yields in the span, and at least minQuotaBurst.
func (t *tokenBucket) take(now, span time.Duration) bool {
	burst := max(minQuotaBurst, t.rate*span.Seconds())
	t.tokens = min(burst, t.tokens+t.rate*(now-t.refilledAt).Seconds())
	t.refilledAt = now
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}
