package load

import (
	"context"
	"net"
	"time"

	"piernotch/internal/http1"
)

const (
	// maxIdleConnections bounds the idle connections to one balancer.
	maxIdleConnections = 256
	// maxIdleTime is how long an idle connection may be reused: balancers are about to close older ones.
	maxIdleTime = time.Second
	// maxResponseSize bounds a response, bytes.
	maxResponseSize = 1 << 20
)

// connection is an open connection to a balancer. It is used for one request at a time.
type connection struct {
	net.Conn
	parser    *http1.Parser
	reused    bool          // it has carried a request before
	idleSince time.Duration // time of the run
}

// connect returns an idle connection or opens one; with fresh it opens one. It fails when the deadline, a
// time of the run, is over.
func (c *Clients) connect(
	ctx context.Context,
	address string,
	fresh bool,
	deadline time.Duration,
) (*connection, error) {
	if !fresh {
		if conn := c.takeIdle(address); conn != nil {
			return conn, nil
		}
	}
	dialer := net.Dialer{Timeout: max(deadline-c.Clock(), time.Millisecond)}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: conn, parser: http1.NewResponseParser(maxResponseSize)}, nil
}

// takeIdle returns the idle connection that was used last, and closes those that are too old. It returns
// nil if there is none.
func (c *Clients) takeIdle(address string) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	for pool := c.idleConnections[address]; len(pool) > 0; {
		last := pool[len(pool)-1]
		pool = pool[:len(pool)-1]
		c.idleConnections[address] = pool
		if c.Clock()-last.idleSince < maxIdleTime {
			return last
		}
		_ = last.Close()
	}
	return nil
}

// release makes a connection idle, or closes it where it cannot be reused.
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

// closeIdle closes all idle connections.
func (c *Clients) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, pool := range c.idleConnections {
		for _, conn := range pool {
			_ = conn.Close()
		}
	}
}
