package runtime

import (
	"log/slog"
	"time"
)

// logPeriodically logs totals, memory and client connections, and has the core log the module's state, each at its
// interval.
func (b *Balancer) logPeriodically(now time.Duration) {
	if now-b.totalsLogged >= totalsInterval {
		if b.totalsLogged > 0 {
			b.logTotals("totals")
			b.downstream.LogState()
			b.memoryLog.log()
		}
		b.totalsLogged = now
	}
	b.memoryLog.logIfGrown(now)
	if now-b.stateLogged >= stateInterval {
		b.stateLogged = now
		b.core.LogState()
	}
}

// logTotals logs the counts since the start of the process and some current values. event is the log
// message.
func (b *Balancer) logTotals(event string) {
	counts := b.core.Counts
	slog.Info(
		event,
		"accepted", counts.Accepted,
		"served", counts.Served,
		"rejected", counts.Rejected,
		"failed", counts.Failed,
		"clients_gone", counts.ClientsDisconnected,
		"deadline_exceeded", counts.DeadlineExceeded,
		"attempts", counts.Attempts,
		"timeouts", counts.Timeouts,
		"resets", counts.Resets,
		"connect_failed", counts.ConnectFailed,
		"full", counts.Full,
		"errors", counts.Errors,
		"connections_opened", b.upstream.ConnectionsOpened,
		"unsolicited_data", b.upstream.UnsolicitedData,
		"pending", b.core.PendingRequests(),
		"clients", b.downstream.ConnectionCount(),
		"descriptors", b.loop.OpenConnections(),
		"generation", b.watcher.Version(),
		"list_age_ms", b.watcher.ListAge().Milliseconds(),
	)
}
