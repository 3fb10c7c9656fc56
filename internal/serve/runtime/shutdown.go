package runtime

import (
	"log/slog"
	"time"

	"piernotch/internal/serve/core"
	"piernotch/internal/serve/handover"
)

const (
	// settleTime is how long a shutdown waits, after the first core.Exit, for requests that are not read
	// from their sockets yet.
	settleTime = 4 * core.TickInterval
	// lingerTime is how long a shutdown waits, after the first core.Exit, for clients that send or read
	// slowly.
	lingerTime = 5 * time.Second
)

// Shutdown begins a graceful shutdown; Run returns when it is complete. Shutdown may be called from
// any goroutine, and more than once.
func (b *Balancer) Shutdown() {
	b.loop.Post(func() {
		slog.Info("shutdown started", "pending", b.core.PendingRequests(), "clients", b.downstream.ConnectionCount())
		b.downstream.Shutdown()
		b.emit(core.Shutdown{})
		b.advance(handover.ShuttingDown)
	})
}

// requestExit records the time of the first core.Exit: the core has no work left.
func (b *Balancer) requestExit() {
	if b.exitRequested == 0 {
		b.exitRequested = b.now()
	}
}

// exitWhenDrained does nothing until settleTime is over and no request is pending. It then closes idle
// client connections, and ends Run when no client connection is left or lingerTime is over. Ending
// earlier would lose responses in a buffer and partially received requests.
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
