package loadtest

import (
	"context"
	"net"
	"time"
)

// crowdPause is how long an idle client waits before it connects again.
const crowdPause = 200 * time.Millisecond

// gatherCrowd has idle clients rest on all balancers until the context ends.
func (e *environment) gatherCrowd(ctx context.Context) {
	for _, target := range e.balancers {
		for range e.opts.Crowd {
			go target.rest(ctx) // ends with the context
		}
	}
}

// rest connects to the balancer, again and again, and sends nothing until the balancer ends the connection.
func (b *balancer) rest(ctx context.Context) {
	for ctx.Err() == nil {
		if b.currentRouting() == routed {
			b.restOnce(ctx)
		}
		sleep(ctx, crowdPause)
	}
}

// restOnce holds one connection until the balancer ends it.
func (b *balancer) restOnce(ctx context.Context) {
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
