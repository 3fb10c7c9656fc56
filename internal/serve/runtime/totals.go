package runtime

import (
	"log/slog"
	"time"
)

// logPeriodically logs totals and has the core log the module's state, each at its interval.
func (b *Balancer) logPeriodically(now time.Duration) {
	if now-b.totalsLogged >= totalsInterval {
		if b.totalsLogged > 0 {
			b.logTotals("totals")
		}
		b.totalsLogged = now
	}
	if now-b.stateLogged >= stateInterval {
		b.stateLogged = now
		b.core.LogState()
	}
}

// logTotals logs what was counted since the start, under an event's name.
func (b *Balancer) logTotals(event string) {
	c := b.core.Counts
	slog.Info(event, "accepted", c.Accepted, "served", c.Served, "rejected", c.Rejected, "failed", c.Failed,
		"clients_gone", c.ClientsGone, "deadline_exceeded", c.DeadlineExceeded, "attempts", c.Attempts, "timeouts", c.Timeouts, "resets", c.Resets,
		"connect_failed", c.ConnectFailed, "full", c.Full, "errors", c.Errors, "connections_opened", b.upstream.ConnectionsOpened,
		"pending", b.core.PendingRequests(), "clients", b.downstream.ConnectionCount(), "descriptors", b.loop.OpenConnections())
}
