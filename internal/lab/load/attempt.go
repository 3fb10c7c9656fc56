package load

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"piernotch"
	"piernotch/internal/http1"
	"piernotch/internal/lab/simulation"
)

// readGrace is how much longer than its deadline a client reads on, to see whether the balancer answers at
// all.
const readGrace = 150 * time.Millisecond

// attempt sends the request once, and once more where a reused connection was closed under it. The advice
// is the answer's Retry-After.
func (c *Clients) attempt(ctx context.Context, a *simulation.Arrival, timeout time.Duration, rng *rand.Rand) (outcome Outcome, retryAfter time.Duration) {
	deadline := c.Clock() + timeout
	balancer, address, ok := c.Pick(a.Zone, rng)
	if !ok {
		return Unreachable, 0
	}
	for fresh := false; ; fresh = true {
		conn, err := c.connect(ctx, address, fresh, deadline)
		if err != nil {
			return Unreachable, 0
		}
		remaining := deadline - c.Clock()
		if remaining <= 0 {
			_ = conn.Close()
			return TimedOut, 0
		}
		id := fmt.Sprintf("%016x", a.Seed^c.nextID.Add(1)<<48)
		c.Observer.RequestSent(id, balancer, a.Class, deadline)
		got := c.exchange(conn, a, id, remaining)
		if got.closedUnread && conn.reused && !fresh {
			c.Observer.RequestEnded(id, Unreachable)
			c.countRetryOnClose()
			continue
		}
		c.Observer.RequestEnded(id, got.outcome)
		return got.outcome, got.retryAfter
	}
}

func (c *Clients) countRetryOnClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retriedOnClose++
}

// answer is what came back for one request.
type answer struct {
	outcome      Outcome
	retryAfter   time.Duration
	closedUnread bool // the connection was closed before anything of an answer came
}

// exchange writes a request and reads its answer. The connection is idle or closed afterwards.
func (c *Clients) exchange(conn *connection, a *simulation.Arrival, id string, remaining time.Duration) answer {
	// A deadline cannot be set only on a closed connection: then the write fails.
	_ = conn.SetDeadline(time.Now().Add(remaining + readGrace))
	if _, err := conn.Write(c.encodeRequest(a, id, remaining)); err != nil {
		_ = conn.Close()
		return answer{outcome: Disconnected, closedUnread: true}
	}
	buf := make([]byte, 4<<10)
	received := false
	for {
		n, err := conn.Read(buf)
		if n > 0 {
			received = true
			conn.parser.Feed(buf[:n])
			message, parseErr := conn.parser.Next()
			if parseErr != nil {
				_ = conn.Close()
				return answer{outcome: Failed}
			}
			if message != nil {
				c.release(conn, message.Close)
				return classify(message, id)
			}
		}
		if err != nil {
			_ = conn.Close()
			if isTimeout(err) {
				return answer{outcome: TimedOut}
			}
			return answer{outcome: Disconnected, closedUnread: !received}
		}
	}
}

// encodeRequest returns the request as it is sent.
func (c *Clients) encodeRequest(a *simulation.Arrival, id string, remaining time.Duration) []byte {
	class := &c.Realization.Classes[a.Class]
	method := http.MethodGet
	var body []byte
	if class.RetrySafety != piernotch.Idempotent {
		method = http.MethodPost
		body = []byte("waveform " + id)
	}
	target := "/" + class.Name + "?w=" + strconv.FormatFloat(a.Work, 'f', 4, 64)
	if a.Key != 0 {
		target += "&k=" + strconv.FormatUint(a.Key, 16)
	}
	fields := http1.Fields{
		{Name: "Host", Value: "backend.local"},
		{Name: "X-Request-Id", Value: id},
		{Name: "X-Deadline-Ms", Value: strconv.FormatInt(remaining.Milliseconds(), 10)},
	}
	if a.Hint > 0 {
		fields = append(fields, http1.Field{Name: "X-Cost-Hint", Value: strconv.FormatInt(int64(a.Hint*1000), 10)})
	}
	return http1.AppendRequest(nil, method, target, fields, body)
}

// classify reads an answer. One that is served must be what a server made for this request.
func classify(m *http1.Message, id string) answer {
	switch {
	case m.Status == http.StatusOK && strings.HasSuffix(string(m.Body), " "+id):
		return answer{outcome: Served}
	case m.Status == http.StatusTooManyRequests || m.Status == http.StatusServiceUnavailable:
		seconds, _ := strconv.ParseFloat(m.Fields.Get("retry-after"), 64) // none is 0
		return answer{outcome: Rejected, retryAfter: time.Duration(max(seconds, 0) * float64(time.Second))}
	}
	return answer{outcome: Failed}
}

// isTimeout reports whether a read or write failed by its deadline.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
