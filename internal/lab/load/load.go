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

// Answer is how a try ended for its client.
type Answer uint8

// Answers.
const (
	Served Answer = iota
	Refused
	Failed
	Unanswered // its time was up
	Broken     // the balancer ended the connection without an answer
	Unreached  // no balancer took it
)

// Observer is told what clients see. Its methods may be called from any goroutine.
type Observer interface {
	// Taken says that a request goes to a balancer's socket.
	Taken(id string, balancer, class int, deadline time.Duration)
	// Ended says how it ended.
	Ended(id string, answer Answer)
}

// Front says which balancer a client of a zone reaches next, and at which address;
// false: none.
type Front func(zone int, rng *rand.Rand) (balancer int, address string, ok bool)

// Clients are the clients of a day.
type Clients struct {
	Day      *scenario.Day
	Arrivals []simulation.Arrival
	Clock    func() time.Duration
	Front    Front
	Watch    Observer

	ids   atomic.Uint64
	mu    sync.Mutex
	tally *goodput.Counter
	late  *hdrhistogram.Histogram // of sending after the due time, us
	ends  [Unreached + 1]int
	cross int
	tries int
	pools map[string][]*conn
}

// mostIdle bounds the connections kept to one balancer.
const mostIdle = 256

type conn struct {
	net.Conn
	parser *http1.Parser
	used   bool
	idle   time.Duration
}

// Counts are the clients' totals.
type Counts struct {
	Tries, Served, Refused, Failed, Unanswered, Broken, Unreached int
	Crossed                                                       int // requests that were sent again: a kept connection was closed under them
}

// Run sends all arrivals at their times and returns when the last has ended, or soon
// after the context has.
func (c *Clients) Run(ctx context.Context) {
	c.tally = goodput.New(c.Day)
	c.late = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	c.pools = map[string][]*conn{}
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
			c.ask(ctx, a)
		}()
	}
	wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		for _, k := range p {
			_ = k.Close()
		}
	}
}

// Tally is what was counted; it is complete once Run has returned.
func (c *Clients) Tally() *goodput.Counter { return c.tally }

// Lateness is how late requests were sent, at a percentile: the rig's own fault.
func (c *Clients) Lateness(percentile float64) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.late.ValueAtPercentile(percentile)) * time.Microsecond
}

// Counts returns the totals.
func (c *Clients) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Counts{c.tries, c.ends[Served], c.ends[Refused], c.ends[Failed], c.ends[Unanswered], c.ends[Broken], c.ends[Unreached], c.cross}
}

// ask is one client with one request and its tries.
func (c *Clients) ask(ctx context.Context, a *simulation.Arrival) {
	d := c.Day
	k := &d.Classes[a.Class]
	first, until := a.At, a.At+k.Deadline
	c.mu.Lock()
	c.tally.Ask(first, a.Class, a.Work)
	_ = c.late.RecordValue(max(int64((c.Clock()-a.At)/time.Microsecond), 1))
	c.mu.Unlock()
	rng := rand.New(rand.NewPCG(a.Seed, 11))
	end := func(tries int, served bool) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.tally.Finish(first, c.Clock()-first, a.Class, a.Work, tries, served)
	}
	for try := 1; ; try++ {
		wait := min(time.Duration(float64(k.Deadline)*d.Clients.TryShare), until-c.Clock())
		answer, advice := c.try(ctx, a, wait, rng)
		c.mu.Lock()
		c.tries++
		c.ends[answer]++
		if answer != Served {
			c.tally.Ended(first, answer == Refused)
		}
		c.mu.Unlock()
		if answer == Served {
			end(try, true)
			return
		}
		again := k.RetrySafety == piernotch.Idempotent || answer == Refused || answer == Unreached || answer == Broken
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

// patience is how much longer than its deadline a client reads on, to see whether the
// balancer answers at all.
const patience = 150 * time.Millisecond

// try sends the request once, and once more where a kept connection was closed under it.
func (c *Clients) try(ctx context.Context, a *simulation.Arrival, wait time.Duration, rng *rand.Rand) (Answer, time.Duration) {
	deadline := c.Clock() + wait
	balancer, address, ok := c.Front(a.Zone, rng)
	if !ok {
		return Unreached, 0
	}
	for fresh := false; ; fresh = true {
		k, err := c.connect(ctx, address, fresh, deadline)
		if err != nil {
			return Unreached, 0
		}
		left := deadline - c.Clock()
		if left <= 0 {
			_ = k.Close()
			return Unanswered, 0
		}
		id := fmt.Sprintf("%016x", a.Seed^c.ids.Add(1)<<48)
		c.Watch.Taken(id, balancer, a.Class, deadline)
		answer, advice, crossed := c.exchange(k, a, id, left)
		if crossed && k.used && !fresh {
			c.Watch.Ended(id, Unreached)
			c.mu.Lock()
			c.cross++
			c.mu.Unlock()
			continue
		}
		c.Watch.Ended(id, answer)
		return answer, advice
	}
}

// connect takes a kept connection or opens one.
func (c *Clients) connect(ctx context.Context, address string, fresh bool, deadline time.Duration) (*conn, error) {
	c.mu.Lock()
	for p := c.pools[address]; !fresh && len(p) > 0; {
		k := p[len(p)-1]
		p = p[:len(p)-1]
		c.pools[address] = p
		if c.Clock()-k.idle < time.Second { // older ones are about to be closed
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
	return &conn{Conn: nc, parser: http1.NewResponseParser(1 << 20)}, nil
}

// exchange writes a request and reads its answer. Crossed: the connection ended before
// anything of an answer came.
func (c *Clients) exchange(k *conn, a *simulation.Arrival, id string, left time.Duration) (answer Answer, advice time.Duration, crossed bool) {
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
	_ = k.SetDeadline(time.Now().Add(left + patience))
	if _, err := k.Write(http1.AppendRequest(nil, method, target, fields, body)); err != nil {
		_ = k.Close()
		return Broken, 0, true
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
				c.keep(k, m.Close)
				return c.judge(m, id)
			}
		}
		if err != nil {
			_ = k.Close()
			var timeout net.Error
			if errors.As(err, &timeout) && timeout.Timeout() {
				return Unanswered, 0, false
			}
			return Broken, 0, !got
		}
	}
}

// judge reads an answer. What is served must be what a server made for this request.
func (c *Clients) judge(m *http1.Message, id string) (Answer, time.Duration, bool) {
	switch {
	case m.Status == 200 && strings.HasSuffix(string(m.Body), " "+id):
		return Served, 0, false
	case m.Status == 429 || m.Status == 503:
		after, _ := strconv.ParseFloat(m.Fields.Get("retry-after"), 64)
		return Refused, time.Duration(max(after, 0) * float64(time.Second)), false
	}
	return Failed, 0, false
}

// keep puts a connection by for the next request.
func (c *Clients) keep(k *conn, closes bool) {
	address := k.RemoteAddr().String()
	c.mu.Lock()
	defer c.mu.Unlock()
	if closes || !k.parser.Idle() || len(c.pools[address]) >= mostIdle {
		_ = k.Close()
		return
	}
	k.used, k.idle = true, c.Clock()
	c.pools[address] = append(c.pools[address], k)
}
