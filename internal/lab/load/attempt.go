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

// readGrace is how much longer than its deadline a client reads on, to see whether the balancer responds at
// all.
const readGrace = 150 * time.Millisecond

// readBufferSize is the size of the buffer for what a client reads at once, bytes.
const readBufferSize = 4 << 10

// sendAttempt sends the request once, and once more where a reused connection was closed under it. The
// duration that it returns is the Retry-After of the response.
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

// drawLeave draws when a client leaves that does not wait until its deadline; 0: it waits.
func (c *Clients) drawLeave(remaining time.Duration, rng *rand.Rand) time.Duration {
	share := c.Realization.Clients.EarlyDisconnectShare
	if share <= 0 || rng.Float64() >= share {
		return 0
	}
	return max(time.Duration(rng.Float64()*float64(remaining)), time.Millisecond)
}

// outgoing is a request that is about to be written.
type outgoing struct {
	id         string
	remaining  time.Duration // for which its client waits
	leaveAfter time.Duration // the client closes the connection after that; 0: it does not
}

func (c *Clients) countRetryOnClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retriedOnClose++
}

// response is what came back for one request.
type response struct {
	outcome      Outcome
	retryAfter   time.Duration
	closedUnread bool // the connection was closed before the balancer can have read the request
}

// crossingTime is how soon after a request was written its connection ends where the balancer closed it before
// it read the request. Behind that the request has been read.
const crossingTime = 100 * time.Millisecond

// exchange writes a request and reads its response. The connection is idle or closed afterwards.
func (c *Clients) exchange(conn *connection, arrival *simulation.Arrival, sent outgoing) response {
	waits := sent.remaining + readGrace
	if sent.leaveAfter > 0 {
		waits = sent.leaveAfter
	}
	written := time.Now()
	// A deadline cannot be set only on a closed connection: then the write fails.
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

// encodeRequest returns the request as it is sent.
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

// classify reads a response. One that is served must be what a server made for this request.
func classify(message *http1.Message, id string) response {
	switch {
	case message.Status == http.StatusOK && strings.HasSuffix(string(message.Body), " "+id):
		return response{outcome: Served}
	case message.Status == http.StatusOK:
		return response{outcome: WrongResponse}
	case message.Status == http.StatusTooManyRequests || message.Status == http.StatusServiceUnavailable:
		seconds, _ := strconv.ParseFloat(message.Fields.Get("retry-after"), 64) // none is 0
		return response{outcome: Rejected, retryAfter: time.Duration(max(seconds, 0) * float64(time.Second))}
	}
	return response{outcome: Failed}
}

// isTimeout reports whether a read or write failed by its deadline.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
