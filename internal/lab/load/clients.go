package load

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"piernotch"
	"piernotch/internal/lab/goodput"
	"piernotch/internal/lab/scenario"
	"piernotch/internal/lab/simulation"
)

// clientStream selects the random stream of a client. It must differ from other streams of the same seed.
const clientStream = 11

// Outcome is how an attempt ended for its client.
type Outcome uint8

// The outcomes of an attempt. In goodput, all but Served and Rejected count as failed.
const (
	Served        Outcome = iota
	Rejected              // 429 or 503
	Failed                // another status, or a response that cannot be parsed
	TimedOut              // no complete response in time
	Disconnected          // the connection ended without a complete response
	Unreachable           // no balancer accepted the request
	Left                  // the client disconnected early
	WrongResponse         // a 200 that no server made for the request
)

const outcomeCount = WrongResponse + 1

// retryable reports whether clients may retry after this outcome in any class, NonIdempotent included: the
// attempt was not executed (Rejected, Unreachable), or the client cannot tell (Disconnected).
func (o Outcome) retryable() bool { return o == Rejected || o == Unreachable || o == Disconnected }

// Observer is notified of what clients see. Its methods may be called from any goroutine.
type Observer interface {
	// RequestSent says that a client is about to write a request to a balancer's socket. The deadline is a
	// time of the run.
	RequestSent(id string, balancer, class int, deadline time.Duration)
	// RequestEnded says how the request ended. Both methods are called once for each id.
	RequestEnded(id string, outcome Outcome)
}

// Picked is the choice of a balancer for an attempt.
type Picked struct {
	Balancer int
	Address  string
	// OnlyOpen is set while the balancer must get no new connections: the attempt may only reuse an idle connection.
	OnlyOpen bool
}

// PickBalancer returns the balancer to which a client in a zone sends its next attempt. It reports false if
// there is none. It may be called from any goroutine; the rng belongs to the caller.
type PickBalancer func(zone int, rng *rand.Rand) (picked Picked, ok bool)

// Clients are the clients of a run. All exported fields but MaxIdle are required, and are not modified.
type Clients struct {
	Realization *scenario.Realization
	Arrivals    []simulation.Arrival // in chronological order
	Clock       func() time.Duration // the time since the start of the run
	Pick        PickBalancer
	Observer    Observer
	// MaxIdle is the idle time up to which a connection is reused. 0 means 1 s: balancers close connections that
	// are idle for longer.
	MaxIdle time.Duration

	nextID atomic.Uint64

	mu              sync.Mutex // guards the fields below
	goodput         *goodput.Counter
	lateness        *hdrhistogram.Histogram // from the due time to the first attempt, microseconds
	outcomes        [outcomeCount]int
	retriedOnClose  int // see Counts.RetriedOnClose
	attempts        int
	idleConnections map[string][]*connection // by address; the most recently used last
}

// Counts are the clients' totals. All but RetriedOnClose count attempts; each attempt has one outcome. The
// JSON keys are those of stored results.
type Counts struct {
	Attempts       int `json:"Tries"`
	Served         int `json:"Served"`
	Rejected       int `json:"Refused"`
	Failed         int `json:"Failed"`
	TimedOut       int `json:"Unanswered"`
	Disconnected   int `json:"Broken"`
	Unreachable    int `json:"Unreached"`
	Left           int `json:"Left,omitempty"`
	WrongResponse  int `json:"Wrong,omitempty"`
	RetriedOnClose int `json:"Crossed"` // requests sent again after a reused connection was closed
}

// Run sends all arrivals at their times. It returns when the last request has ended, or soon after the
// context has ended. It is called once.
func (c *Clients) Run(ctx context.Context) {
	c.goodput = goodput.New(c.Realization)
	c.lateness = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	c.idleConnections = map[string][]*connection{}
	var requests sync.WaitGroup
	for i := range c.Arrivals {
		arrival := &c.Arrivals[i]
		if wait := arrival.At - c.Clock(); wait > 0 {
			sleep(ctx, wait)
		}
		if ctx.Err() != nil {
			break
		}
		requests.Go(func() { c.send(ctx, arrival) }) // ends with the request, or soon after the context
	}
	requests.Wait()
	c.closeIdle()
}

// Goodput returns the counts by class and second. It must be used only after Run has returned.
func (c *Clients) Goodput() *goodput.Counter { return c.goodput }

// Lateness returns how long after their due times requests were first sent, at a percentile from 0 to 100.
// Lateness is a fault of the load generator, not of a balancer.
func (c *Clients) Lateness(percentile float64) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.lateness.ValueAtPercentile(percentile)) * time.Microsecond
}

// Counts returns the totals so far.
func (c *Clients) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Counts{
		Attempts: c.attempts, Served: c.outcomes[Served], Rejected: c.outcomes[Rejected], Failed: c.outcomes[Failed],
		TimedOut: c.outcomes[TimedOut], Disconnected: c.outcomes[Disconnected], Unreachable: c.outcomes[Unreachable],
		Left: c.outcomes[Left], WrongResponse: c.outcomes[WrongResponse], RetriedOnClose: c.retriedOnClose,
	}
}

// send sends one request and counts the outcomes. It retries with exponential backoff as the outcome, the class,
// the deadline and the limit of attempts allow. A share of the retries also waits for Retry-After.
func (c *Clients) send(ctx context.Context, arrival *simulation.Arrival) {
	clients := &c.Realization.Clients
	class := &c.Realization.Classes[arrival.Class]
	expires := arrival.At + class.Deadline
	c.countRequest(arrival)
	rng := rand.New(rand.NewPCG(arrival.Seed, clientStream))
	for attemptCount := 1; ; attemptCount++ {
		timeout := min(time.Duration(float64(class.Deadline)*clients.AttemptTimeoutShare), expires-c.Clock())
		outcome, retryAfter := c.sendAttempt(ctx, arrival, timeout, rng)
		c.countAttempt(arrival, outcome)
		if outcome == Served {
			c.countEnd(arrival, attemptCount, goodput.Served)
			return
		}
		backoff := time.Duration(float64(clients.Backoff) * math.Exp2(float64(attemptCount-1)) * (0.5 + rng.Float64()))
		if rng.Float64() < clients.RetryAfterShare {
			backoff = max(backoff, min(retryAfter, c.Realization.Settings.Limits.MaxRetryAfter))
		}
		mayRetry := outcome != Left && (class.RetrySafety == piernotch.Idempotent || outcome.retryable())
		attemptsLeft := attemptCount < arrival.MaxAttempts && ctx.Err() == nil
		inTime := c.Clock()+backoff < expires
		if !mayRetry || !attemptsLeft || !inTime {
			c.countEnd(arrival, attemptCount, goodput.Unserved)
			return
		}
		sleep(ctx, backoff)
	}
}

// countRequest counts a request that is about to be sent, and its lateness.
func (c *Clients) countRequest(arrival *simulation.Arrival) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.goodput.RequestSent(arrival.At, arrival.Class, arrival.Work)
	// Lateness above a minute is out of range and not recorded; such a run is void anyway.
	_ = c.lateness.RecordValue(max(int64((c.Clock()-arrival.At)/time.Microsecond), 1))
}

// countAttempt counts an attempt that has ended, also in goodput.
func (c *Clients) countAttempt(arrival *simulation.Arrival, outcome Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts++
	c.outcomes[outcome]++
	switch outcome {
	case Served:
	case Rejected:
		c.goodput.AttemptRejected(arrival.At)
	default:
		c.goodput.AttemptFailed(arrival.At)
	}
}

// countEnd counts a request that has ended; attempts includes the first.
func (c *Clients) countEnd(arrival *simulation.Arrival, attempts int, end goodput.End) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.goodput.RequestFinished(goodput.FinishedRequest{
		First:          arrival.At,
		Took:           c.Clock() - arrival.At,
		Class:          arrival.Class,
		Work:           arrival.Work,
		ClientAttempts: attempts,
		End:            end,
	})
}

// sleep waits for a duration, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
