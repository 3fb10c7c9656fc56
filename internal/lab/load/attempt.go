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

// readGrace is how long a client reads on after the timeout of an attempt, to tell a late response from a
// missing one.
const readGrace = 150 * time.Millisecond

const readBufferSize = 4 << 10 // bytes, per request

// sendAttempt sends the request, and again with a new ID on a new connection if the balancer closed a reused
// connection before it read the request. It also returns the Retry-After of a rejection.
func (c *Clients) sendAttempt(
	ctx context.Context,
	arrival *simulation.Arrival,
	timeout time.Duration,
	rng *rand.Rand,
) (outcome Outcome, retryAfter time.Duration) {
	deadline := c.Clock() + timeout
	for fresh := false; ; fresh = true {
		conn, picked, err := c.connectTo(ctx, attemptTarget{arrival.Zone, deadline}, fresh, rng)
		if err != nil {
			return Unreachable, 0
		}
		remaining := deadline - c.Clock()
		if remaining <= 0 {
			_ = conn.Close()
			return TimedOut, 0
		}
		id := fmt.Sprintf("%016x", arrival.Seed^c.nextID.Add(1)<<48)
		c.Observer.RequestSent(id, picked.Balancer, arrival.Class, deadline)
		sent := outgoing{id: id, remaining: remaining, leaveAfter: c.drawLeave(remaining, rng)}
		got := c.exchange(conn, arrival, sent)
		if got.closedUnread && conn.reused && !fresh {
			c.Observer.RequestEnded(id, Unreachable)
			c.countRetryOnClose()
			continue
		}
		c.Observer.RequestEnded(id, got.outcome)
		return got.outcome, got.retryAfter
	}
}

// drawLeave draws the time after which a client disconnects early; 0: it does not.
func (c *Clients) drawLeave(remaining time.Duration, rng *rand.Rand) time.Duration {
	share := c.Realization.Clients.EarlyDisconnectShare
	if share <= 0 || rng.Float64() >= share {
		return 0
	}
	return max(time.Duration(rng.Float64()*float64(remaining)), time.Millisecond)
}

type outgoing struct {
	id         string
	remaining  time.Duration // until the timeout of the attempt
	leaveAfter time.Duration // time until the client disconnects early; 0: it does not
}

func (c *Clients) countRetryOnClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retriedOnClose++
}

type response struct {
	outcome      Outcome
	retryAfter   time.Duration
	closedUnread bool // the balancer seems to have closed the connection before it read the request
}

// crossingTime decides whether a request whose connection ended without a response counts as read by the balancer.
// Within crossingTime after the write, it counts as unread: the close crossed the request on the wire.
const crossingTime = 100 * time.Millisecond

// exchange writes a request and reads its response. Afterwards the connection is idle or closed.
func (c *Clients) exchange(conn *connection, arrival *simulation.Arrival, sent outgoing) response {
	waits := sent.remaining + readGrace
	if sent.leaveAfter > 0 {
		waits = sent.leaveAfter
	}
	written := time.Now()
	// SetDeadline fails only on a closed connection, on which the write below fails, too.
	_ = conn.SetDeadline(written.Add(waits))
	if _, err := conn.Write(c.encodeRequest(arrival, sent.id, sent.remaining)); err != nil {
		_ = conn.Close()
		return response{outcome: Disconnected, closedUnread: true}
	}
	buffer := make([]byte, readBufferSize)
	received := false
	for {
		count, err := conn.Read(buffer)
		if count > 0 {
			received = true
			conn.parser.Feed(buffer[:count])
			message, parseErr := conn.parser.Next()
			if parseErr != nil {
				_ = conn.Close()
				return response{outcome: Failed}
			}
			if message != nil {
				c.release(conn, message.Close)
				return classify(message, sent.id)
			}
		}
		if err != nil {
			_ = conn.Close()
			switch {
			case isTimeout(err) && sent.leaveAfter > 0:
				return response{outcome: Left}
			case isTimeout(err):
				return response{outcome: TimedOut}
			}
			return response{outcome: Disconnected, closedUnread: !received && time.Since(written) < crossingTime}
		}
	}
}

// encodeRequest returns the bytes of a request; classes that are not Idempotent use POST.
func (c *Clients) encodeRequest(arrival *simulation.Arrival, id string, remaining time.Duration) []byte {
	class := &c.Realization.Classes[arrival.Class]
	method := http.MethodGet
	var body []byte
	if class.RetrySafety != piernotch.Idempotent {
		method = http.MethodPost
		body = []byte("waveform " + id)
	}
	target := "/" + class.Name + "?w=" + strconv.FormatFloat(arrival.Work, 'f', 4, 64)
	if arrival.Key != 0 {
		target += "&k=" + strconv.FormatUint(arrival.Key, 16)
	}
	fields := http1.Fields{
		{Name: "Host", Value: "backend.local"},
		{Name: "X-Request-Id", Value: id},
		{Name: "X-Deadline-Ms", Value: strconv.FormatInt(remaining.Milliseconds(), 10)},
	}
	if arrival.Hint > 0 {
		fields = append(
			fields,
			http1.Field{Name: "X-Cost-Hint", Value: strconv.FormatInt(int64(arrival.Hint*1000), 10)},
		)
	}
	return http1.AppendRequest(nil, method, target, fields, body)
}

// classify returns the result of a response. A 200 counts as Served only if the body ends in the request ID.
func classify(message *http1.Message, id string) response {
	switch {
	case message.Status == http.StatusOK && strings.HasSuffix(string(message.Body), " "+id):
		return response{outcome: Served}
	case message.Status == http.StatusOK:
		return response{outcome: WrongResponse}
	case message.Status == http.StatusTooManyRequests || message.Status == http.StatusServiceUnavailable:
		seconds, _ := strconv.ParseFloat(message.Fields.Get("retry-after"), 64) // 0 if missing
		return response{outcome: Rejected, retryAfter: time.Duration(max(seconds, 0) * float64(time.Second))}
	}
	return response{outcome: Failed}
}

// isTimeout reports whether a read or write failed because the connection's deadline was over.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
