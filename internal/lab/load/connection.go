package load

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"time"

	"piernotch/internal/http1"
)

const (
	// maxIdleConnections bounds the idle connections to one balancer.
	maxIdleConnections = 256
	// defaultMaxIdle is the default of Clients.MaxIdle: balancers soon close connections that have been idle
	// for longer.
	defaultMaxIdle = time.Second
	// maxPicks bounds how often a balancer is picked for one attempt. Another pick is needed if the picked
	// balancer must get no new connections and has no idle one.
	maxPicks = 8
	// maxSilence is how long a new connection may stay silent. Balancers close silent connections only later, even
	// if descriptors are short.
	maxSilence = 50 * time.Millisecond
	// maxDials bounds the dials for one connection that is ready within maxSilence.
	maxDials = 3
	// maxResponseSize bounds a response, bytes.
	maxResponseSize = 1 << 20
)

// connection is an open connection to a balancer. It carries one request at a time.
type connection struct {
	net.Conn
	parser    *http1.Parser
	reused    bool          // whether it has carried a request before
	idleSince time.Duration // time of the run
}

// errNoBalancer says that no balancer with a usable connection was picked.
var errNoBalancer = errors.New("no balancer")

// connectTo picks a balancer for an attempt and returns a connection to it: an idle one if there is one and
// fresh is not set, else a new one. If the balancer must get no new one, connectTo picks again, up to maxPicks
// picks in all. Dialing times out at the deadline.
func (c *Clients) connectTo(
	ctx context.Context,
	target attemptTarget,
	fresh bool,
	rng *rand.Rand,
) (*connection, Picked, error) {
	for range maxPicks {
		picked, ok := c.Pick(target.zone, rng)
		if !ok {
			break
		}
		if !fresh {
			if conn := c.takeIdle(picked.Address); conn != nil {
				return conn, picked, nil
			}
		}
		if picked.OnlyOpen {
			continue
		}
		conn, err := dialPromptly(func() (net.Conn, error) {
			dialer := net.Dialer{Timeout: max(target.deadline-c.Clock(), time.Millisecond)}
			return dialer.DialContext(ctx, "tcp", picked.Address)
		})
		if err != nil {
			return nil, picked, err
		}
		return &connection{Conn: conn, parser: http1.NewResponseParser(maxResponseSize)}, picked, nil
	}
	return nil, Picked{}, errNoBalancer
}

// dialPromptly dials until a connection is returned soon enough for its request to follow at once. On a busy machine
// a dial may return long after the balancer has accepted the connection, and a balancer that is short of descriptors
// may have closed the silent connection by then. After maxDials, the last connection is returned in any case.
func dialPromptly(dial func() (net.Conn, error)) (net.Conn, error) {
	for dials := 1; ; dials++ {
		started := time.Now()
		conn, err := dial()
		if err != nil || time.Since(started) < maxSilence || dials == maxDials {
			return conn, err
		}
		_ = conn.Close()
	}
}

// attemptTarget is the zone of an attempt's client and the deadline of the attempt.
type attemptTarget struct {
	zone     int
	deadline time.Duration // time of the run
}

// takeIdle returns the most recently used idle connection to an address, or nil if there is none. If all idle
// connections have been idle for maxIdle, takeIdle closes them and returns nil.
func (c *Clients) takeIdle(address string) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	maxIdle := cmp.Or(c.MaxIdle, defaultMaxIdle)
	for pool := c.idleConnections[address]; len(pool) > 0; {
		last := pool[len(pool)-1]
		pool = pool[:len(pool)-1]
		c.idleConnections[address] = pool
		if c.Clock()-last.idleSince < maxIdle {
			return last
		}
		_ = last.Close()
	}
	return nil
}

// release makes a connection idle. It closes the connection instead if closes is set, more bytes than the
// response have arrived, or maxIdleConnections are idle.
func (c *Clients) release(conn *connection, closes bool) {
	address := conn.RemoteAddr().String()
	c.mu.Lock()
	defer c.mu.Unlock()
	if closes || !conn.parser.Idle() || len(c.idleConnections[address]) >= maxIdleConnections {
		_ = conn.Close()
		return
	}
	conn.reused = true
	conn.idleSince = c.Clock()
	c.idleConnections[address] = append(c.idleConnections[address], conn)
}

func (c *Clients) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, pool := range c.idleConnections {
		for _, conn := range pool {
			_ = conn.Close()
		}
	}
}
