// Package retrybudget decides whether a retry or a hedged request may be sent, by how many requests came.
//
// It prevents the retry storm: when servers fail, retries multiply the load on those that are left, which
// then fail, too. A budget that only arriving requests fill bounds the extra attempts to a fixed share of
// them, whatever fails. Such budgets are described in the chapters "Handling Overload" and "Addressing
// Cascading Failures" of Google's Site Reliability Engineering book, and built into Envoy and Finagle.
//
// A Budget must not be used concurrently.
package retrybudget

// sharePerRequest is what each request adds to the budget: retries and hedged requests are at most this
// share of the requests. Envoy's default is 20%.
const sharePerRequest = 0.15

// Budget counts the retries and hedged requests that may be sent now. The zero value has none and
// collects none: Configure sets the bound.
type Budget struct {
	left float64
	most float64 // bound on left
}

// Configure sets the most attempts that a request may have, the first included. The budget holds at most
// maxAttempts/sharePerRequest retries, so that a burst of failures after a calm time is bounded, too. What
// has been collected stays.
func (b *Budget) Configure(maxAttempts int) {
	b.most = float64(maxAttempts) / sharePerRequest
}

// RequestArrived adds a request's share.
func (b *Budget) RequestArrived() { b.left = min(b.left+sharePerRequest, b.most) }

// Available reports whether there is enough for an attempt.
func (b *Budget) Available() bool { return b.left >= 1 }

// Spend takes one attempt from the budget. Available must have been true.
func (b *Budget) Spend() { b.left-- }

// Left returns how many attempts the budget covers.
func (b *Budget) Left() float64 { return b.left }
