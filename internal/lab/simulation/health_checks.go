package simulation

import (
	"fmt"

	"piernotch"
	"piernotch/internal/lab/servermodel"
)

func (w *World) startHealthCheck(action *Action) {
	server, known := w.serverByID[action.Server]
	if !known {
		w.err = fmt.Errorf("balancer %d %w: %d", action.Balancer, errUnknownServer, action.Server)
		return
	}
	balancer := &w.balancers[action.Balancer]
	w.lastHealthCheck++
	check := w.healthChecks.Put(w.lastHealthCheck)
	key := mix(uint64(action.Balancer)<<40 ^ uint64(w.now))
	*check = healthCheckState{
		balancer: balancerIndex(action.Balancer),
		server:   server,
		epoch:    balancer.epoch,
		sentAt:   w.now,
	}
	check.delay = w.networkDelay(w.realization.Delay[balancer.zone][w.servers[server].spec.Zone], key, concernDelay)
	w.counters.HealthChecks++
	w.events.schedule(w.now+check.delay, eventHealthCheckArrives, w.lastHealthCheck)
}

// healthCheckArrives derives the result of a health check from the server's state, and sends the result to the
// balancer.
func (w *World) healthCheckArrives(id uint64) {
	check := w.healthChecks.Get(id)
	server := &w.servers[check.server]
	back := w.now + check.delay
	switch server.State() {
	case servermodel.Up:
		server.Charge(w.now, server.spec.Kind.HealthCheckWork)
		check.load, check.hasLoad = server.Report(w.now, w.reportDelay)
	case servermodel.Draining:
		check.status = piernotch.Full
	case servermodel.Silent:
		check.status = piernotch.Timeout
		back = check.sentAt + w.realization.Rules.HealthCheckTimeout
	default:
		check.status = piernotch.ConnectFailed
	}
	w.events.schedule(back, eventHealthCheckCompletes, id)
}

// healthCheckCompletes notifies the balancer of a health check's result, if the process that sent the check
// still runs.
func (w *World) healthCheckCompletes(id uint64) {
	check := w.healthChecks.Get(id)
	if balancer := &w.balancers[check.balancer]; balancer.up && balancer.epoch == check.epoch {
		w.notify(check.balancer, Event{
			Kind: EventHealthCheckCompleted, Server: w.servers[check.server].id, Status: check.status,
			Latency: w.now - check.sentAt, Load: check.load, HasLoad: check.hasLoad,
		})
	}
	w.healthChecks.Delete(id)
}
