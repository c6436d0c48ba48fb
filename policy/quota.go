package policy

import "time"

// minQuotaBurst is the least capacity of a token bucket, in requests. The traffic of one replica is uneven,
// and a small quota would be used up by two simultaneous requests.
const minQuotaBurst = 3

// quotas holds the token bucket of each tenant by name. Without tenants, no request is over quota.
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

// setReplicas divides each quota by the number of replicas.
func (q quotas) setReplicas(replicas float64) {
	for _, bucket := range q {
		bucket.rate = bucket.quota / replicas
	}
}

// exceeded takes a token from the bucket of a tenant and returns whether there was none. A tenant without a
// quota always exceeds it.
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

// take refills the bucket, whose capacity is the rate over a span, and takes a token if there is one.
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
