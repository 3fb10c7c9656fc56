// Package load is open-loop clients: each request is sent when it is due, whether or
// not earlier ones are answered, and its latency counts from then. They keep the
// protocol: ids, deadlines, keys, hints, kept connections, and retries by class.
package load

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"piernotch"
	"piernotch/internal/http1"
	"piernotch/internal/lab/goodput"
	"piernotch/internal/lab/scenario"
	"piernotch/internal/lab/simulation"
)

// Outcome is how a try ended for its client.
type Outcome uint8

// Answers.
const (
	Served Outcome = iota
	Rejected
	Failed
	TimedOut     // its time was up
	Disconnected // the balancer ended the connection without an answer
	Unreachable  // no balancer took it
)

// Observer is told what clients see. Its methods may be called from any goroutine.
type Observer interface {
	// RequestSent says that a request goes to a balancer's socket.
	RequestSent(id string, balancer, class int, deadline time.Duration)
	// RequestEnded says how it ended.
	RequestEnded(id string, answer Outcome)
}

// PickBalancer says which balancer a client of a zone reaches next, and at which address;
// false: none.
type PickBalancer func(zone int, rng *rand.Rand) (balancer int, address string, ok bool)

// Clients are the clients of a day.
type Clients struct {
	Day      *scenario.Day
	Arrivals []simulation.Arrival
	Clock    func() time.Duration
	Pick     PickBalancer
	Observer Observer

	nextID          atomic.Uint64
	mu              sync.Mutex
	goodput         *goodput.Counter
	lateness        *hdrhistogram.Histogram // of sending after the due time, us
	outcomes        [Unreachable + 1]int
	retriedOnClose  int
	attempts        int
	idleConnections map[string][]*connection
}

// maxIdleConnections bounds the connections kept to one balancer.
const maxIdleConnections = 256

type connection struct {
	net.Conn
	parser    *http1.Parser
	reused    bool
	idleSince time.Duration
}

// Counts are the clients' totals. All but RetriedOnClose are attempts; each attempt has one outcome.
type Counts struct {
	Attempts       int `json:"Tries"`
	Served         int `json:"Served"`
	Rejected       int `json:"Refused"`
	Failed         int `json:"Failed"`
	TimedOut       int `json:"Unanswered"`
	Disconnected   int `json:"Broken"`
	Unreachable    int `json:"Unreached"`
	RetriedOnClose int `json:"Crossed"` // requests that were sent again: a reused connection was closed under them
}

// Run sends all arrivals at their times and returns when the last has ended, or soon
// after the context has.
func (c *Clients) Run(ctx context.Context) {
	c.goodput = goodput.New(c.Day)
	c.lateness = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	c.idleConnections = map[string][]*connection{}
	var wg sync.WaitGroup
	for i := range c.Arrivals {
		a := &c.Arrivals[i]
		if wait := a.At - c.Clock(); wait > 0 {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
			}
		}
		if ctx.Err() != nil {
			break
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.send(ctx, a)
		}()
	}
	wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.idleConnections {
		for _, k := range p {
			_ = k.Close()
		}
	}
}

// Goodput is what was counted; it is complete once Run has returned.
func (c *Clients) Goodput() *goodput.Counter { return c.goodput }

// Lateness is how late requests were sent, at a percentile: the rig's own fault.
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
		RetriedOnClose: c.retriedOnClose,
	}
}

// send is one client with one request and its tries.
func (c *Clients) send(ctx context.Context, a *simulation.Arrival) {
	d := c.Day
	k := &d.Classes[a.Class]
	first, until := a.At, a.At+k.Deadline
	c.mu.Lock()
	c.goodput.Ask(first, a.Class, a.Work)
	_ = c.lateness.RecordValue(max(int64((c.Clock()-a.At)/time.Microsecond), 1))
	c.mu.Unlock()
	rng := rand.New(rand.NewPCG(a.Seed, 11))
	end := func(tries int, served bool) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.goodput.Finish(first, c.Clock()-first, a.Class, a.Work, tries, served)
	}
	for try := 1; ; try++ {
		wait := min(time.Duration(float64(k.Deadline)*d.Clients.TryShare), until-c.Clock())
		answer, advice := c.attempt(ctx, a, wait, rng)
		c.mu.Lock()
		c.attempts++
		c.outcomes[answer]++
		if answer != Served {
			c.goodput.Ended(first, answer == Rejected)
		}
		c.mu.Unlock()
		if answer == Served {
			end(try, true)
			return
		}
		again := k.RetrySafety == piernotch.Idempotent || answer == Rejected || answer == Unreachable || answer == Disconnected
		pause := time.Duration(float64(d.Clients.Backoff) * math.Exp2(float64(try-1)) * (0.5 + rng.Float64()))
		if rng.Float64() < d.Clients.Honour {
			pause = max(pause, min(advice, d.Settings.Limits.MaxRetryAfter))
		}
		if !again || try >= a.Tries || ctx.Err() != nil || c.Clock()+pause >= until {
			end(try, false)
			return
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// readGrace is how much longer than its deadline a client reads on, to see whether the
// balancer answers at all.
const readGrace = 150 * time.Millisecond

// attempt sends the request once, and once more where a kept connection was closed under it.
func (c *Clients) attempt(ctx context.Context, a *simulation.Arrival, wait time.Duration, rng *rand.Rand) (Outcome, time.Duration) {
	deadline := c.Clock() + wait
	balancer, address, ok := c.Pick(a.Zone, rng)
	if !ok {
		return Unreachable, 0
	}
	for fresh := false; ; fresh = true {
		k, err := c.connect(ctx, address, fresh, deadline)
		if err != nil {
			return Unreachable, 0
		}
		left := deadline - c.Clock()
		if left <= 0 {
			_ = k.Close()
			return TimedOut, 0
		}
		id := fmt.Sprintf("%016x", a.Seed^c.nextID.Add(1)<<48)
		c.Observer.RequestSent(id, balancer, a.Class, deadline)
		answer, advice, crossed := c.exchange(k, a, id, left)
		if crossed && k.reused && !fresh {
			c.Observer.RequestEnded(id, Unreachable)
			c.mu.Lock()
			c.retriedOnClose++
			c.mu.Unlock()
			continue
		}
		c.Observer.RequestEnded(id, answer)
		return answer, advice
	}
}

// connect takes a kept connection or opens one.
func (c *Clients) connect(ctx context.Context, address string, fresh bool, deadline time.Duration) (*connection, error) {
	c.mu.Lock()
	for p := c.idleConnections[address]; !fresh && len(p) > 0; {
		k := p[len(p)-1]
		p = p[:len(p)-1]
		c.idleConnections[address] = p
		if c.Clock()-k.idleSince < time.Second { // older ones are about to be closed
			c.mu.Unlock()
			return k, nil
		}
		_ = k.Close()
	}
	c.mu.Unlock()
	dialer := net.Dialer{Timeout: max(deadline-c.Clock(), time.Millisecond)}
	nc, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: nc, parser: http1.NewResponseParser(1 << 20)}, nil
}

// exchange writes a request and reads its answer. Crossed: the connection ended before
// anything of an answer came.
func (c *Clients) exchange(k *connection, a *simulation.Arrival, id string, left time.Duration) (answer Outcome, advice time.Duration, crossed bool) {
	class := &c.Day.Classes[a.Class]
	method, body := "GET", []byte(nil)
	if class.RetrySafety != piernotch.Idempotent {
		method, body = "POST", []byte("waveform "+id)
	}
	target := "/" + class.Name + "?w=" + strconv.FormatFloat(a.Work, 'f', 4, 64)
	if a.Key != 0 {
		target += "&k=" + strconv.FormatUint(a.Key, 16)
	}
	fields := http1.Fields{{Name: "Host", Value: "backend.local"}, {Name: "X-Request-Id", Value: id},
		{Name: "X-Deadline-Ms", Value: strconv.FormatInt(left.Milliseconds(), 10)}}
	if a.Hint > 0 {
		fields = append(fields, http1.Field{Name: "X-Cost-Hint", Value: strconv.FormatInt(int64(a.Hint*1000), 10)})
	}
	_ = k.SetDeadline(time.Now().Add(left + readGrace))
	if _, err := k.Write(http1.AppendRequest(nil, method, target, fields, body)); err != nil {
		_ = k.Close()
		return Disconnected, 0, true
	}
	buf := make([]byte, 4<<10)
	got := false
	for {
		n, err := k.Read(buf)
		if n > 0 {
			got = true
			k.parser.Feed(buf[:n])
			m, perr := k.parser.Next()
			if perr != nil {
				_ = k.Close()
				return Failed, 0, false
			}
			if m != nil {
				c.release(k, m.Close)
				return c.classify(m, id)
			}
		}
		if err != nil {
			_ = k.Close()
			var timeout net.Error
			if errors.As(err, &timeout) && timeout.Timeout() {
				return TimedOut, 0, false
			}
			return Disconnected, 0, !got
		}
	}
}

// classify reads an answer. What is served must be what a server made for this request.
func (c *Clients) classify(m *http1.Message, id string) (Outcome, time.Duration, bool) {
	switch {
	case m.Status == 200 && strings.HasSuffix(string(m.Body), " "+id):
		return Served, 0, false
	case m.Status == 429 || m.Status == 503:
		after, _ := strconv.ParseFloat(m.Fields.Get("retry-after"), 64)
		return Rejected, time.Duration(max(after, 0) * float64(time.Second)), false
	}
	return Failed, 0, false
}

// release puts a connection by for the next request.
func (c *Clients) release(k *connection, closes bool) {
	address := k.RemoteAddr().String()
	c.mu.Lock()
	defer c.mu.Unlock()
	if closes || !k.parser.Idle() || len(c.idleConnections[address]) >= maxIdleConnections {
		_ = k.Close()
		return
	}
	k.reused, k.idleSince = true, c.Clock()
	c.idleConnections[address] = append(c.idleConnections[address], k)
}
