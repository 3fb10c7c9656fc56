package loadtest

import (
	"context"
	"net"
	"time"
)

// reconnectPause is how long an idle client waits before it connects again.
const reconnectPause = 200 * time.Millisecond

// startIdleClients starts Options.IdleClients clients for each balancer. They run until the context is done.
func (e *environment) startIdleClients(ctx context.Context) {
	for _, target := range e.balancers {
		for range e.opts.IdleClients {
			go target.runIdleClient(ctx) // ends with the context
		}
	}
}

// runIdleClient keeps a silent connection to the balancer until the context is done. It connects and reconnects only
// while the balancer is routed.
func (b *balancer) runIdleClient(ctx context.Context) {
	for ctx.Err() == nil {
		if b.currentRouting() == routed {
			b.holdIdleConnection(ctx)
		}
		sleep(ctx, reconnectPause)
	}
}

// holdIdleConnection opens a connection and waits until the balancer closes it or the context is done.
func (b *balancer) holdIdleConnection(ctx context.Context) {
	var dialer net.Dialer
	connection, err := dialer.DialContext(ctx, "tcp", b.address)
	if err != nil {
		return // the balancer restarts or accepts no more connections
	}
	defer context.AfterFunc(ctx, func() { _ = connection.Close() })()
	var one [1]byte
	_, _ = connection.Read(one[:]) // ends with the connection
	_ = connection.Close()
}
