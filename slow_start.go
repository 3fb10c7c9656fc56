package piernotch

import (
	"time"

	"piernotch/internal/decision/slowstart"
)

// slowStartWindows is the number of draw windows within Rules.OverloadWindow. With so many windows, the
// requests that all balancers may send in one of them are only a small part of what overloads a server.
const slowStartWindows = 8

// newSlowStart returns the slow start controller for the settings. If there are many balancers and the
// overload window is known, each balancer draws at random, per window, whether it may send to a server in
// slow start.
func (b *Balancer) newSlowStart() slowstart.Controller {
	rules := b.settings.Rules
	options := slowstart.Options{
		InitialCapacity: rules.SlowStartCapacity, Duration: rules.SlowStartDuration, Seed: b.windowSeed,
	}
	if b.manyBalancers() {
		options.DrawWindow = rules.OverloadWindow / slowStartWindows
	}
	return slowstart.NewController(options)
}

// slowStartIfRecent starts the slow start of a server if, according to the list, it started less than
// Rules.SlowStartDuration ago.
func (b *Balancer) slowStartIfRecent(now time.Duration, target *server) {
	if target.StartedAt > 0 && b.slowStart.Covers(now, target.StartedAt) {
		b.startSlowStart(now, target, target.StartedAt)
	}
}

// startSlowStart starts a slow start that counts from the clock time since. It drops the server's mean
// latency, which is that of the previous process.
func (b *Balancer) startSlowStart(now time.Duration, target *server, since time.Duration) {
	target.latency.ForgetMean()
	b.slowStart.Start(now, since, &target.slowStart, b.slowStartLoad(now, target), b.rng)
}

// assumeRestart starts a slow start as startSlowStart does, because the server may have restarted. This slow
// start ends early unless the endpoint list shows a restart.
func (b *Balancer) assumeRestart(now time.Duration, target *server) {
	target.latency.ForgetMean()
	b.slowStart.Assume(now, &target.slowStart, b.slowStartLoad(now, target), b.rng)
}

// slowStartAllows reports whether a server in slow start may get the request now.
func (b *Balancer) slowStartAllows(now time.Duration, request *openRequest, target *server) bool {
	candidate := slowstart.Request{
		Work: request.work, MeanWork: b.workload.Mean(), ServerInflight: target.inflight,
		WarmedByLocalBalancers: b.spills(target) && !b.zonesWithoutBalancer(),
	}
	if !b.slowStart.Admits(now, &target.slowStart, candidate) {
		return false
	}
	if !b.slowStart.Drawn() {
		return true
	}
	identity := slowstart.Identity{Hash: target.idHash, Stagger: target.spillRank}
	return b.slowStart.WinsDraw(now, &target.slowStart, identity, b.slowStartLoad(now, target))
}

// zonesWithoutBalancer reports whether there are fewer balancers than zones. Some zone then has no balancer
// of its own to warm up its servers.
func (b *Balancer) zonesWithoutBalancer() bool {
	return b.settings.BalancerCount < len(b.settings.Zones)
}

// slowStartLoad returns the figures that decide how much work a server in slow start may get: what warm
// servers get and complete, how many balancers send to the server, its size and its last load report.
func (b *Balancer) slowStartLoad(now time.Duration, target *server) slowstart.Load {
	reports := &target.reports
	load := slowstart.Load{
		MeanWork: b.workload.Mean(), PeakCompletionRate: b.peakCompletionRate.PerSecond(),
		Senders: b.sendersTo(target), Size: target.Size,
		Report: slowstart.Report{
			Known: reports.Received(), Others: reports.LastOthers(),
			CompletionRate: reports.LastCompletionRate(),
		},
	}
	if b.spills(target) {
		load.Spillers = float64(b.settings.BalancerCount) // as if all balancers spilled to the server
	}
	if b.slowStart.NeedsSendRate(load) {
		load.SendRate = b.warmSendRate(now)
	}
	return load
}

// warmSendRate returns the work per second, in ms, that this balancer sends to a warm server of size 1.
// Arriving work is not used, because client retries can make it a multiple of any capacity. If few warm
// servers are left in a group, they may be overloaded, so they count as at least half of the group's peak
// size. The result is the greatest of both groups' rates and the mean rate over all servers, which alone
// counts if no server is warm.
func (b *Balancer) warmSendRate(now time.Duration) float64 {
	most := 0.0
	for i := range b.groups {
		group := &b.groups[i]
		if peakSize := b.endpoints.peakSize[i]; peakSize > 0 {
			most = max(most, group.sendRate.PerSecond(now)/max(group.warmSize, peakSize/2))
		}
	}
	size := b.endpoints.peakSize[localZone] + b.endpoints.peakSize[remoteZones]
	return max(most, b.sendRate.PerSecond(now)/max(size, 1))
}
