package simulation

import (
	"fmt"

	"piernotch"
	"piernotch/internal/lab/servermodel"
)

// startHealthCheck sends a health check on its way to a server.
func (w *World) startHealthCheck(action *Action) {
	s, ok := w.serverByID[action.Backend]
	if !ok {
		w.err = fmt.Errorf("balancer %d %w: %d", action.Instance, errUnknownServer, action.Backend)
		return
	}
	instance := &w.instances[action.Instance]
	w.lastHealthCheck++
	check := w.healthChecks.Put(w.lastHealthCheck)
	key := mix(uint64(action.Instance)<<40 ^ uint64(w.now))
	*check = healthCheck{instance: int32(action.Instance), server: s, epoch: instance.epoch, sentAt: w.now}
	check.delay = w.networkDelay(w.day.Delay[instance.zone][w.servers[s].spec.Zone], key, concernDelay)
	w.counters.HealthChecks++
	w.events.plan(w.now+check.delay, priorityMessage, eventHealthCheckArrives, w.lastHealthCheck, 0)
}

// healthCheckArrives has a server answer a health check as its state allows.
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
		back = check.sentAt + w.day.Rules.HealthCheckTimeout
	default:
		check.status = piernotch.ConnectFailed
	}
	w.events.plan(back, priorityMessage, eventHealthCheckCompletes, id, 0)
}

// healthCheckCompletes brings a result to the balancer, if the process that asked still runs.
func (w *World) healthCheckCompletes(id uint64) {
	check := w.healthChecks.Get(id)
	if instance := &w.instances[check.instance]; instance.up && instance.epoch == check.epoch {
		w.notify(int(check.instance), Event{
			Kind: EventHealthCheckCompleted, Backend: w.servers[check.server].id, Status: check.status,
			Latency: w.now - check.sentAt, Load: check.load, HasLoad: check.hasLoad,
		})
	}
	w.healthChecks.Delete(id)
}
