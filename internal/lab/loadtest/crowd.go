package loadtest

import (
	"context"
	"net"
	"time"
)

// reconnectPause is how long an idle client waits before it connects again.
const reconnectPause = 200 * time.Millisecond

// startIdleClients has idle clients rest on all balancers until the context ends.
func (e *environment) startIdleClients(ctx context.Context) {
	for _, target := range e.balancers {
		for range e.opts.IdleClients {
			go target.runIdleClient(ctx) // ends with the context
		}
	}
}

// runIdleClient connects to the balancer, again and again, and sends nothing until the balancer ends the connection.
func (b *balancer) runIdleClient(ctx context.Context) {
	for ctx.Err() == nil {
		if b.currentRouting() == routed {
			b.holdIdleConnection(ctx)
		}
		sleep(ctx, reconnectPause)
	}
}

// holdIdleConnection holds one connection until the balancer ends it.
func (b *balancer) holdIdleConnection(ctx context.Context) {
	var dialer net.Dialer
	connection, err := dialer.DialContext(ctx, "tcp", b.address)
	if err != nil {
		return // it restarts, or has no room
	}
	defer context.AfterFunc(ctx, func() { _ = connection.Close() })()
	var one [1]byte
	_, _ = connection.Read(one[:]) // ends with the connection
	_ = connection.Close()
}
