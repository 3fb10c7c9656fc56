package piernotch

import (
	"time"

	"piernotch/internal/decision/slowstart"
)

// slowStartWindows is the number of windows, within the rule's overload window, for each of which a send is
// drawn: what is drawn in one of them is a small part of what overloads a server.
const slowStartWindows = 8

// newSlowStart returns the controller of slow start for the settings. Only many balancers draw.
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

// slowStartIfYoung starts the slow start of a server that the list says started lately.
func (b *Balancer) slowStartIfYoung(now time.Duration, target *server) {
	if target.StartedAt > 0 && b.slowStart.Covers(now, target.StartedAt) {
		b.startSlowStart(now, target, target.StartedAt)
	}
}

// startSlowStart counts a slow start from since.
func (b *Balancer) startSlowStart(now time.Duration, target *server, since time.Duration) {
	target.latency.ForgetMean()
	b.slowStart.Start(now, since, &target.slowStart, b.slowStartLoad(now, target), b.rng)
}

// assumeRestart starts a slow start that ends soon, unless the list names a restart.
func (b *Balancer) assumeRestart(now time.Duration, target *server) {
	target.latency.ForgetMean()
	b.slowStart.Assume(now, &target.slowStart, b.slowStartLoad(now, target), b.rng)
}

// slowStartAllows reports whether a server in slow start may get the request.
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

// zonesWithoutBalancer reports whether some zone has no balancer of its own to warm its servers up.
func (b *Balancer) zonesWithoutBalancer() bool {
	return b.settings.BalancerCount < len(b.settings.Zones)
}

// slowStartLoad returns what warm servers get and complete, and what the server reports.
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
		load.Spillers = float64(b.settings.BalancerCount) // all of them may send there
	}
	if b.slowStart.NeedsSendRate(load) {
		load.SendRate = b.warmSendRate(now)
	}
	return load
}

// warmSendRate returns the work per second that this balancer sends to a warm server of size 1. What
// arrives is no measure of that: by clients' retries it is a multiple of any capacity. A few servers left
// warm in a zone may be overloaded: they count as half of the zone. If none is warm, the mean counts.
func (b *Balancer) warmSendRate(now time.Duration) float64 {
	most := 0.0
	for i := range b.groups {
		group := &b.groups[i]
		if fullSize := b.endpoints.fullSize[i]; fullSize > 0 {
			most = max(most, group.sendRate.PerSecond(now)/max(group.warmSize, fullSize/2))
		}
	}
	size := b.endpoints.fullSize[localZone] + b.endpoints.fullSize[remoteZones]
	return max(most, b.sendRate.PerSecond(now)/max(size, 1))
}
