package simulation

import (
	"time"

	"piernotch"
)

// connect sends an attempt on an idle connection, or on a new connection if none is idle. Expired connections are
// closed first. At the server's connection limit, a new connection fails at the dial timeout.
func (w *World) connect(balancer *balancerState, attemptID uint64, attempt *attemptState) {
	if balancer.pools == nil {
		balancer.pools = make([]connectionPool, len(w.servers))
	}
	pool := &balancer.pools[attempt.server]
	if pool.idle > 0 && w.now-pool.lastUsed > w.realization.Rules.KeepAlive {
		w.closeConnections(attempt.server, pool.closeIdle())
	}
	if pool.idle > 0 {
		pool.idle--
		attempt.inTransit = true
		attempt.arrivesAt = w.now + attempt.delay
		w.events.schedule(attempt.arrivesAt, eventAttemptArrives, attemptID)
		return
	}
	attempt.newConnection = true
	server := &w.servers[attempt.server]
	if limit := server.spec.Kind.Conn.MaxConnections; limit > 0 && server.connections >= limit {
		w.counters.TableFull++
		attempt.arrivesAt = never
		w.scheduleOutcome(attemptID, attempt, piernotch.ConnectFailed, w.now+w.realization.Rules.DialTimeout)
		return
	}
	attempt.inTransit = true
	pool.open++
	server.connections++
	server.SetConnections(w.now, server.connections)
	w.counters.Opened++
	attempt.arrivesAt = w.now + attempt.delay + 2*time.Duration(server.spec.HandshakeRTTs)*attempt.delay
	w.events.schedule(attempt.arrivesAt, eventAttemptArrives, attemptID)
}

// returnConnection returns the connection of a completed attempt to the pool. Without a response the state of
// the connection is unknown, so the connection is closed.
func (w *World) returnConnection(balancer *balancerState, attempt *attemptState, status piernotch.Status) {
	if attempt.epoch != balancer.epoch || balancer.pools == nil {
		return
	}
	pool := &balancer.pools[attempt.server]
	if pool.open <= pool.idle {
		return
	}
	if responded(status) {
		pool.idle++
		pool.lastUsed = w.now
		return
	}
	pool.open--
	w.closeConnections(attempt.server, 1)
}

// responded reports whether an attempt ended with a response from the server.
func responded(status piernotch.Status) bool {
	return status == piernotch.OK || status == piernotch.Error || status == piernotch.Full
}

func (w *World) closeIdle(action *Action) {
	balancer := &w.balancers[action.Balancer]
	server, known := w.serverByID[action.Server]
	if known && balancer.pools != nil {
		w.closeConnections(server, balancer.pools[server].closeIdle())
	}
}

func (w *World) closeConnections(index serverIndex, count int) {
	if count != 0 {
		server := &w.servers[index]
		server.connections -= count
		server.SetConnections(w.now, server.connections)
	}
}

// dropConnections closes all connections to a server whose process has ended.
func (w *World) dropConnections(index serverIndex) {
	for i := range w.balancers {
		if pools := w.balancers[i].pools; pools != nil {
			pools[index] = connectionPool{}
		}
	}
	w.servers[index].connections = 0
}
