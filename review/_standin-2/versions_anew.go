package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// versionsAnew plays a case: One balancer, as the platform starts it, watches discovery. Discovery is restarted, and one
// server has left. With the trouble, discovery has lost its versions, and the servers that are left have registered
// anew, which has brought it past the balancer's version. The balancer must not send to the server that is gone for longer
// than the rule on drains allows.
func versionsAnew(r *run) int {
	const firstGeneration = 3
	fleet, instances, err := newFleet(r, 4)
	if err != nil {
		r.note("%v", err)
		return cannotRun
	}
	addresses := freeAddresses(2)
	listen := addresses[1]
	gone := instances[3].ID
	disc, err := newDiscovery(r, addresses[0], firstGeneration, instances)
	if err != nil {
		r.note("%v", err)
		return cannotRun
	}
	config := r.write("config.json", platformConfig(listen, addresses[0]))
	if _, err := r.program("n0", []string{"ROUTER_CONFIG=" + config}, "piernotch"); err != nil {
		r.note("%v", err)
		return cannotRun
	}
	if !waitFor(10*time.Second, func() bool { return healthy(listen) }) {
		r.note("n0 is not ready")
		return cannotRun
	}
	stop := make(chan struct{})
	go askAlways(r, listen, "n0", 20, stop)
	time.Sleep(2 * time.Second)

	if err := disc.restart(gone, r.trouble, firstGeneration+1); err != nil {
		r.note("%v", err)
		return cannotRun
	}
	up := r.since()
	time.Sleep(25 * time.Second)
	close(stop)
	time.Sleep(time.Second)

	late := fleet.after(gone, "n0", up+toldWithin+drainGrace+slack)
	for _, got := range late {
		r.note("broken: %s, which is gone, got %s %.2f s after discovery was up again", got.server, got.id,
			(got.at - up).Seconds())
	}
	r.note("%d requests at a server that is gone, later than %v after discovery was up again", len(late),
		toldWithin+drainGrace+slack)
	if len(late) > 0 {
		return ruleBroken
	}
	return ruleHeld
}

// platformConfig returns a configuration file in the platform's form.
func platformConfig(listen, discovery string) string {
	return fmt.Sprintf(`{"name": "n0", "listen": %q, "discovery": %q, "seed": "8c1f30d27a5be964",
 "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
 "settings": {
  "group_size": 1, "my_number": 0, "my_zone": 0, "zones": ["addis"], "quantum_ms": 5, "discovery": "on_request",
  "classes": [
   {"name": "segment-read", "goal_time_ms": 1200, "deadline_ms": 5000, "points": 5, "late_worth": 0, "effect": "safe"},
   {"name": "pick-submit", "goal_time_ms": 2500, "deadline_ms": 5000, "points": 8, "late_worth": 0, "effect": "unsafe"}],
  "limits": {"most_tries": 4, "second_copies": true, "cancelling": true, "may_probe": true, "retry_after": false,
   "max_retry_after_ms": 2000, "keepalive_ms": 60000, "dial_timeout_ms": 250},
  "rules": {"answer_slack_ms": 20, "ask_within_ms": 6000, "cold_from": 0.12, "cold_ms": 24000,
   "drain_grace_ms": 2000, "fall_multiple": 2.5, "overload_for_ms": 2000},
  "specifics": {"warm_keys": true}, "tenants": [], "over_share_worth": 0.1}}
`, listen, discovery)
}

// askAlways asks a balancer rate times a second in the mean, at random times, until stop is closed. IDs begin with the
// balancer's name.
func askAlways(r *run, address, name string, rate float64, stop <-chan struct{}) {
	var next atomic.Int64
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rand.ExpFloat64() * float64(time.Second) / rate)):
		}
		go func() {
			id := fmt.Sprintf("%s-%d", name, next.Add(1))
			status, body, err := ask(address, http.MethodGet, "/segment-read", id, 4*time.Second)
			if err != nil {
				r.note("client %s: %v", id, err)
				return
			}
			r.note("client %s: %d %s", id, status, strings.TrimSpace(body))
		}()
	}
}
