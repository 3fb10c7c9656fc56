package simulation

import (
	"time"

	"piernotch"
)

// connect finds a connection for an attempt or opens one, and sends the attempt off.
func (w *World) connect(balancer *balancerState, attemptID uint64, a *attempt) {
	if balancer.pools == nil {
		balancer.pools = make([]connectionPool, len(w.servers))
	}
	pool := &balancer.pools[a.server]
	if pool.idle > 0 && w.now-pool.lastUsed > w.realization.Rules.KeepAlive {
		w.closeConnections(int(a.server), pool.closeIdle())
	}
	if pool.idle > 0 {
		pool.idle--
		a.inTransit = true
		a.arrivesAt = w.now + a.delay
		w.events.plan(a.arrivesAt, priorityMessage, eventAttemptArrives, attemptID, 0)
		return
	}
	a.newConnection = true
	server := &w.servers[a.server]
	if limit := server.spec.Kind.Conn.MaxConnections; limit > 0 && server.connections >= limit {
		w.counters.TableFull++
		a.arrivesAt = never
		w.planOutcome(attemptID, a, piernotch.ConnectFailed, w.now+w.realization.Rules.DialTimeout)
		return
	}
	a.inTransit = true
	pool.open++
	server.connections++
	server.SetConnections(w.now, server.connections)
	w.counters.Opened++
	a.arrivesAt = w.now + a.delay + 2*time.Duration(server.spec.HandshakeRTTs)*a.delay
	w.events.plan(a.arrivesAt, priorityMessage, eventAttemptArrives, attemptID, 0)
}

// returnConnection puts the connection of a completed attempt back into its pool, or closes it where
// the status leaves it in an unknown state.
func (w *World) returnConnection(balancer *balancerState, a *attempt, status piernotch.Status) {
	if a.epoch != balancer.epoch || balancer.pools == nil {
		return
	}
	pool := &balancer.pools[a.server]
	if pool.open <= pool.idle {
		return
	}
	if responded(status) {
		pool.idle++
		pool.lastUsed = w.now
		return
	}
	pool.open--
	w.closeConnections(int(a.server), 1)
}

// responded reports whether an attempt ended with a response of its server.
func responded(status piernotch.Status) bool {
	return status == piernotch.OK || status == piernotch.Error || status == piernotch.Full
}

// closeIdle closes an instance's idle connections to a server.
func (w *World) closeIdle(a *Action) {
	balancer := &w.balancers[a.Balancer]
	s, known := w.serverByID[a.Server]
	if known && balancer.pools != nil {
		w.closeConnections(int(s), balancer.pools[s].closeIdle())
	}
}

// closeConnections has a server lose n connections.
func (w *World) closeConnections(server, n int) {
	if n != 0 {
		m := &w.servers[server]
		m.connections -= n
		m.SetConnections(w.now, m.connections)
	}
}

// dropConnections closes all connections to a server whose process has ended.
func (w *World) dropConnections(s int) {
	for i := range w.balancers {
		if pools := w.balancers[i].pools; pools != nil {
			pools[s] = connectionPool{}
		}
	}
	w.servers[s].connections = 0
}
