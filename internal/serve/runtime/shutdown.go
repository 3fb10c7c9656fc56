package runtime

import (
	"log/slog"
	"time"

	"piernotch/internal/serve/core"
	"piernotch/internal/serve/handover"
)

const (
	// settleTime is how long the sockets get, once no request is pending, for requests that have
	// arrived but were not read yet.
	settleTime = 4 * core.TickInterval
	// lingerTime is how long a shutdown waits, once no request is pending, for clients that are slow
	// to send or to read.
	lingerTime = 5 * time.Second
)

// Shutdown begins a graceful shutdown, at whose end Run returns. It may be called from any
// goroutine, and more than once.
func (b *Balancer) Shutdown() {
	b.loop.Post(func() {
		slog.Info("shutdown started", "pending", b.core.PendingRequests(), "clients", b.downstream.ConnectionCount())
		b.downstream.Shutdown()
		b.emit(core.Shutdown{})
		b.advance(handover.ShuttingDown)
	})
}

// requestExit notes that the core has nothing left to do.
func (b *Balancer) requestExit() {
	if b.exitRequested == 0 {
		b.exitRequested = b.now()
	}
}

// exitWhenDrained ends Run once the core is done and the sockets are, too: a response that is still
// in a buffer, or a request of which a part has come, would be lost.
func (b *Balancer) exitWhenDrained() {
	now := b.now()
	if b.exitRequested == 0 || b.core.PendingRequests() > 0 || now-b.exitRequested < settleTime {
		return
	}
	b.downstream.CloseIdle()
	if b.downstream.ConnectionCount() == 0 || now-b.exitRequested > lingerTime {
		b.exit()
	}
}
