// Package quota decides whether a request is within its tenant's quota, based on this balancer's share of
// that quota.
//
// It prevents a surge of one tenant from taking the capacity of all: requests over the quota are still
// served, but with a lower priority, so they are shed first. Each tenant has a token bucket (as in RFC
// 2697 and Envoy's local rate limit filter). Balancers exchange nothing about quotas: clients spread over
// them evenly enough that each balancer can enforce an equal share.
//
// A Limiter must not be used concurrently.
package quota

import "time"

// burstSeconds is the depth of a bucket, in seconds of its rate: a tenant may save up the unused quota of
// that time.
const burstSeconds = 1

// Options holds the operators' settings.
type Options struct {
	PerSecond     []float64 // requests of each tenant per second, over all balancers; 0: unlimited
	BalancerCount int       // balancers, which share the quotas evenly; at least 1
}

// Limiter holds the token buckets of the tenants. The zero value has no tenants.
type Limiter struct {
	buckets []bucket // by tenant
}

// bucket is a token bucket: tokens are added at a steady rate, and each request takes one.
type bucket struct {
	unlimited bool
	perSecond float64 // this balancer's share of the quota
	tokens    float64
	filledAt  time.Duration
}

// Configure sets the quotas. The buckets of existing tenants keep their tokens.
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

// Take counts a request of a tenant and reports whether it is within the quota. A request of an unknown
// tenant, or of a tenant without a quota, always is.
func (l *Limiter) Take(now time.Duration, tenant int) bool {
	if tenant < 0 || tenant >= len(l.buckets) || l.buckets[tenant].unlimited {
		return true
	}
	return l.buckets[tenant].take(now)
}

// take adds the tokens that are due, takes a token if there is one, and reports whether it did.
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
