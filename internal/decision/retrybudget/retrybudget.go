// Package retrybudget limits retries and hedged requests to a fixed share of the requests that arrive.
//
// It prevents retry storms: when servers fail, retries multiply the load on the remaining servers, which
// then fail, too. Only arriving requests fill the budget, so the extra attempts stay a bounded share of
// those requests, whatever fails. Such budgets are described in the chapters "Handling Overload" and
// "Addressing Cascading Failures" of Google's Site Reliability Engineering book, and built into Envoy and
// Finagle.
//
// A Budget must not be used concurrently.
package retrybudget

// sharePerRequest is what each request adds to the budget: retries and hedged requests together are at most
// this share of the requests. Envoy's default is 20%.
const sharePerRequest = 0.15

// Budget counts the retries and hedged requests that may be sent now. The zero value is empty and stays so
// until Configure sets its bound.
type Budget struct {
	left float64
	most float64 // bound on left
}

// Configure sets the bound from maxAttempts, the most attempts of one request, the first included. The
// budget holds at most maxAttempts/sharePerRequest retries, so that a burst of failures after a calm time is
// bounded, too. The present budget stays; if it exceeds the new bound, the next request reduces it.
func (b *Budget) Configure(maxAttempts int) {
	b.most = float64(maxAttempts) / sharePerRequest
}

// RequestArrived adds sharePerRequest to the budget, up to the bound.
func (b *Budget) RequestArrived() { b.left = min(b.left+sharePerRequest, b.most) }

// Available reports whether the budget covers one more attempt.
func (b *Budget) Available() bool { return b.left >= 1 }

// Spend takes one attempt from the budget. The caller must have checked Available.
func (b *Budget) Spend() { b.left-- }

// Left returns the number of attempts that the budget covers, fractions included.
func (b *Budget) Left() float64 { return b.left }
