// Package quota decides whether a request is within its tenant's quota, by this balancer's share of it.
//
// It prevents that one tenant's surge takes the capacity of all: requests over a quota still are served,
// but with a lower priority, so that they are the first to be shed. Each tenant has a token bucket (as in
// RFC 2697 and Envoy's local rate limit filter). Balancers do not talk to each other about quotas:
// clients spread over them evenly enough that each enforces an equal share.
//
// A Limiter must not be used concurrently.
package quota

import "time"

// burstSeconds is the depth of a bucket, in seconds of its rate: a tenant may use what it left unused for
// so long.
const burstSeconds = 1

// Options is what the operators set.
type Options struct {
	PerSecond     []float64 // requests of each tenant per second, over all balancers; 0: unlimited
	BalancerCount int       // among which the quotas are split evenly; at least 1
}

// Limiter holds the tenants' token buckets. The zero value has no tenants.
type Limiter struct {
	buckets []bucket // by tenant
}

// bucket holds tokens that are added at a steady rate, one for each request.
type bucket struct {
	unlimited bool
	perSecond float64 // this balancer's share of the quota
	tokens    float64
	filledAt  time.Duration
}

// Configure sets the quotas. The buckets of tenants that were there before keep their tokens.
func (l *Limiter) Configure(options Options) {
	for len(l.buckets) < len(options.PerSecond) {
		l.buckets = append(l.buckets, bucket{})
	}
	l.buckets = l.buckets[:len(options.PerSecond)]
	for tenant, perSecond := range options.PerSecond {
		l.buckets[tenant].unlimited = perSecond == 0
		l.buckets[tenant].perSecond = perSecond / float64(options.BalancerCount)
	}
}

// Take counts a request of a tenant, and reports whether it is within the quota. A request of a tenant
// that is not known, or has no quota, always is.
func (l *Limiter) Take(now time.Duration, tenant int) bool {
	if tenant < 0 || tenant >= len(l.buckets) || l.buckets[tenant].unlimited {
		return true
	}
	return l.buckets[tenant].take(now)
}

// take takes one token, and reports whether there was one.
func (b *bucket) take(now time.Duration) bool {
	added := b.perSecond * (now - b.filledAt).Seconds()
	depth := max(1, b.perSecond*burstSeconds) // at least one request, however low the rate
	b.tokens = min(b.tokens+added, depth)
	b.filledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
