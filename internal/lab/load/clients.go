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

// clientStream keeps a client's random numbers apart from others of its seed.
const clientStream = 11

// Outcome is how an attempt ended for its client.
type Outcome uint8

// Outcomes.
const (
	Served        Outcome = iota
	Rejected              // by a 429 or 503
	Failed                // by another status, or a response that cannot be parsed
	TimedOut              // without a response
	Disconnected          // the balancer closed the connection without a response
	Unreachable           // no balancer accepted it
	Left                  // its client closed the connection before its deadline
	WrongResponse         // with a 200 that no server made for it
)

// outcomeCount is the number of outcomes.
const outcomeCount = WrongResponse + 1

// retryable reports whether an attempt with this outcome has certainly not been executed, or may be sent
// again by a client that cannot know.
func (o Outcome) retryable() bool { return o == Rejected || o == Unreachable || o == Disconnected }

// Observer is notified of what clients see. Its methods may be called from any goroutine.
type Observer interface {
	// RequestSent says that a request is about to be written to a balancer's socket. The deadline is a
	// time of the run.
	RequestSent(id string, balancer, class int, deadline time.Duration)
	// RequestEnded says how it ended. Each id is sent and ended once.
	RequestEnded(id string, outcome Outcome)
}

// Picked is a balancer that an attempt may be sent to.
type Picked struct {
	Balancer int
	Address  string
	// OnlyOpen is set while the balancer gets no new connections: the attempt may go there on an open one.
	OnlyOpen bool
}

// PickBalancer returns the balancer that a client of a zone sends its next attempt to; it reports false if
// there is none. It may be called from any goroutine, with an rng of the caller's.
type PickBalancer func(zone int, rng *rand.Rand) (picked Picked, ok bool)

// Clients are the clients of a run. All exported fields but MaxIdle are required, and read only.
type Clients struct {
	Realization *scenario.Realization
	Arrivals    []simulation.Arrival // in the order of time
	Clock       func() time.Duration // the time since the start of the run
	Pick        PickBalancer
	Observer    Observer
	// MaxIdle is how long an idle connection may be reused; 0: a second, since balancers close older ones.
	MaxIdle time.Duration

	nextID atomic.Uint64

	mu              sync.Mutex // guards what follows
	goodput         *goodput.Counter
	lateness        *hdrhistogram.Histogram // of sending after the due time, microseconds
	outcomes        [outcomeCount]int
	retriedOnClose  int
	attempts        int
	idleConnections map[string][]*connection // by address, the last used one last
}

// Counts are the clients' totals. All but RetriedOnClose are of attempts; each attempt has one outcome. The
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
	RetriedOnClose int `json:"Crossed"` // requests that were sent again: a reused connection was closed under them
}

// Run sends all arrivals at their times and returns when the last has ended, or soon after the context has.
// It is called once.
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

// Goodput returns what was counted by class and time; it is complete once Run has returned.
func (c *Clients) Goodput() *goodput.Counter { return c.goodput }

// Lateness returns how late requests were sent, at a percentile from 0 to 100. It is a fault of the test
// and not of a balancer.
func (c *Clients) Lateness(percentile float64) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.lateness.ValueAtPercentile(percentile)) * time.Microsecond
}

// Counts returns the totals.
func (c *Clients) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Counts{
		Attempts: c.attempts, Served: c.outcomes[Served], Rejected: c.outcomes[Rejected], Failed: c.outcomes[Failed],
		TimedOut: c.outcomes[TimedOut], Disconnected: c.outcomes[Disconnected], Unreachable: c.outcomes[Unreachable],
		Left: c.outcomes[Left], WrongResponse: c.outcomes[WrongResponse], RetriedOnClose: c.retriedOnClose,
	}
}

// send is one client with one request and its attempts.
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

// countRequest counts a request that is about to be sent.
func (c *Clients) countRequest(arrival *simulation.Arrival) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.goodput.RequestSent(arrival.At, arrival.Class, arrival.Work)
	// A minute late is out of range, and void anyway.
	_ = c.lateness.RecordValue(max(int64((c.Clock()-arrival.At)/time.Microsecond), 1))
}

// countAttempt counts an attempt that has ended.
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

// countEnd counts a request that has ended after so many attempts.
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

// sleep waits for a time, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
