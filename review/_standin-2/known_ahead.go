package main

import (
	"encoding/json"
	"syscall"
	"time"
)

// knownAhead plays a case: Three balancers share a watch. n1 is stopped in order, for a planned restart. Meanwhile
// discovery is restarted, and one server leaves its list. With the trouble, discovery has lost its versions: it counts
// from a lower one. Once n0 and n2 have the new list, and one of them holds the watch, n1 starts again, with the list that
// it had last as its known list. It must not send to the server that is gone for longer than the rule on drains allows.
func knownAhead(r *run) int {
	const firstGeneration, lostGeneration = 41, 5
	fleet, instances, err := newFleet(r, 4)
	if err != nil {
		r.note("%v", err)
		return cannotRun
	}
	address := freeAddresses(1)[0]
	gone := instances[3].ID
	disc, err := newDiscovery(r, address, firstGeneration, instances)
	if err != nil {
		r.note("%v", err)
		return cannotRun
	}
	g, err := newGroup(r, 3)
	if err != nil {
		r.note("%v", err)
		return cannotRun
	}
	if _, err := g.start(0, address, ""); err != nil {
		r.note("%v", err)
		return cannotRun
	}
	if _, err := g.start(2, address, ""); err != nil {
		r.note("%v", err)
		return cannotRun
	}
	second, err := g.start(1, address, "")
	if err != nil {
		r.note("%v", err)
		return cannotRun
	}
	known, err := json.Marshal(list{Generation: firstGeneration, Reset: true, Instances: instances})
	if err != nil {
		return cannotRun
	}
	stop := make(chan struct{})
	go g.load(0, 20, stop)
	go g.load(2, 20, stop)
	time.Sleep(2 * time.Second)

	_ = second.Process.Signal(syscall.SIGTERM)
	r.note("n1 gets SIGTERM")
	_ = second.Wait()
	r.forget(second)
	r.note("n1 has ended")
	if err := disc.restart(gone, r.trouble, lostGeneration); err != nil {
		r.note("%v", err)
		return cannotRun
	}
	// A balancer has the new list once it has stopped sending to the server.
	stopped := func() bool {
		recently := r.since() - 2*time.Second
		return len(fleet.after(gone, "n0", recently)) == 0 && len(fleet.after(gone, "n2", recently)) == 0
	}
	if !waitFor(30*time.Second, stopped) {
		r.note("n0 or n2 still sends to %s", gone)
		return cannotRun
	}
	// One of the two holds the watch again once only one asks discovery: a call takes 5 s at most.
	if !waitFor(30*time.Second, func() bool { return disc.callers(5500*time.Millisecond) == 1 }) {
		r.note("n0 and n2 both ask discovery")
		return cannotRun
	}

	if _, err := g.start(1, address, string(known)); err != nil {
		r.note("%v", err)
		return cannotRun
	}
	ready := r.since()
	r.note("n1 is ready again, with a known list of generation %d that names %s", firstGeneration, gone)
	go g.load(1, 20, stop)
	time.Sleep(20 * time.Second)
	close(stop)
	time.Sleep(time.Second)

	late := fleet.after(gone, "n1", ready+toldWithin+drainGrace+slack)
	for _, got := range late {
		r.note("broken: %s, which is gone, got %s %.2f s after n1 was ready", got.server, got.id, (got.at - ready).Seconds())
	}
	r.note("%d requests of n1 at a server that is gone, later than %v after n1 was ready", len(late),
		toldWithin+drainGrace+slack)
	if len(late) > 0 {
		return ruleBroken
	}
	return ruleHeld
}
