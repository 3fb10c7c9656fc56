package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// orderSettings returns the settings of a small deployment after guild-orders.toml. changeUnsafe says whether
// order-change must never run twice, or carries a key by which the order boxes of a building drop repeats.
func orderSettings(changeUnsafe bool) object {
	change := object{
		"name": "order-change", "goal_time_ms": 600, "deadline_ms": 1200, "points": 3, "late_worth": 0.3,
		"effect": "keyed", "dedup_scope": "zone", "dedup_window_ms": 6000,
	}
	if changeUnsafe {
		change["effect"] = "unsafe"
		delete(change, "dedup_scope")
		delete(change, "dedup_window_ms")
	}
	place := object{
		"name": "order-place", "goal_time_ms": 800, "deadline_ms": 2500, "points": 9, "late_worth": 0.25,
		"effect": "unsafe",
	}
	return object{
		"group_size": 1, "my_number": 0, "my_zone": 0, "zones": []string{"worcester", "nashua"}, "quantum_ms": 5,
		"discovery": "pushed", "classes": []object{change, place},
		"limits": object{
			"most_tries": 3, "second_copies": true, "cancelling": true, "may_probe": true, "retry_after": true,
			"max_retry_after_ms": 2500, "keepalive_ms": 5000, "dial_timeout_ms": 150,
		},
		"rules": object{
			"answer_slack_ms": 20, "cold_from": 0.32, "cold_ms": 7600, "drain_grace_ms": 500, "fall_multiple": 2.5,
			"overload_for_ms": 1500,
		},
		"specifics": object{}, "tenants": []object{}, "over_share_worth": 0.2,
	}
}

// stricterKind: a new configuration makes order-change unsafe to repeat. From 1.2 s after SIGHUP on, clients send it in
// its new form, without a key. Then two of twelve order boxes begin to fail many of their requests with 500.
func stricterKind(p *play) bool {
	const balancers, boxes, failingBoxes = 3, 12, 2
	var mu sync.Mutex
	runs := map[string][]string{}  // order boxes that have run a request, by request
	newForm := map[string]string{} // requests in the new form, and the answers that their clients got
	var failing, inNewForm atomic.Bool
	inNewForm.Store(!p.trouble)
	var entries []entry
	for i := range boxes {
		s := p.startFeedServer(&feedServer{
			name: fmt.Sprintf("b-%d", i), work: workOf(45 * time.Millisecond),
			begun: func(a arrival) {
				p.logf("%s gets %s %s, key %q", a.server, a.id, a.target, a.key)
			},
			copyAfter: func(arrival) time.Duration { return 0 },
			reply: func(a arrival) (status int, body string) {
				mu.Lock()
				defer mu.Unlock()
				runs[a.id] = append(runs[a.id], a.server)
				if i < failingBoxes && failing.Load() && rand.IntN(100) < 80 {
					return http.StatusInternalServerError, "error after the work of " + a.id
				}
				return http.StatusOK, "done: " + a.id
			},
		})
		entries = append(entries, entry{
			Name: s.name, Address: s.address, Zone: "worcester", Kind: "middle", State: "in_service", Weight: 1,
		})
	}
	found := p.startDiscovery(false, entries)
	var processes []*child
	var addresses []string
	configs := make([]object, balancers)
	for i := range balancers {
		name, address := fmt.Sprintf("n%d", i), p.freeAddress()
		settings := orderSettings(!p.trouble)
		settings["group_size"], settings["my_number"] = balancers, i
		configs[i] = object{
			"name": name, "listen": address, "discovery": found.address, "seed": fmt.Sprintf("%016x", rand.Uint64()),
			"limits": object{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
			"known":  list{Generation: 41, Reset: true, Instances: entries}, "settings": settings,
		}
		processes = append(processes, p.start(name, p.runCommand(), "ROUTER_CONFIG="+p.writeJSON(name+".json", configs[i])))
		addresses = append(addresses, address)
	}
	for _, address := range addresses {
		p.awaitHealthy(address)
	}

	until := time.Now().Add(14 * time.Second)
	var clients sync.WaitGroup
	for i := range 10 * balancers {
		clients.Go(func() {
			c := &client{address: addresses[i%balancers]}
			defer c.close()
			for time.Now().Before(until) {
				id := newID()
				r := request{
					id: id, method: "POST", target: "/order-change", body: "change " + id, deadline: 1200 * time.Millisecond,
				}
				if inNewForm.Load() {
					mu.Lock()
					newForm[id] = "none"
					mu.Unlock()
				} else {
					r.key = newID() + newID()
				}
				a := c.do(r)
				p.logf("client sent %s, key %q, and got %d after %d ms", id, r.key, a.status, a.took.Milliseconds())
				mu.Lock()
				if newForm[id] != "" {
					newForm[id] = fmt.Sprint(a.status)
				}
				mu.Unlock()
				time.Sleep(rand.N(150 * time.Millisecond))
			}
		})
	}
	time.Sleep(3 * time.Second)
	if p.trouble { // SIGHUP comes never in the first second, nor before the balancer is ready
		for i, process := range processes {
			settings := orderSettings(true)
			settings["group_size"], settings["my_number"] = balancers, i
			configs[i]["settings"] = settings
			p.writeJSON(fmt.Sprintf("n%d.json", i), configs[i])
			p.logf("a new configuration of n%d, and SIGHUP", i)
			process.signal(syscall.SIGHUP)
		}
		time.Sleep(1250 * time.Millisecond)
		p.logf("clients use the class with its stricter effect")
		inNewForm.Store(true)
	}
	p.logf("b-0 and b-1 begin to fail many requests")
	failing.Store(true)
	clients.Wait()

	mu.Lock()
	defer mu.Unlock()
	twice := 0
	for id, status := range newForm {
		if len(runs[id]) > 1 {
			twice++
			p.logf("BROKEN: %s, unsafe to repeat, ran at %v; its client got %s", id, runs[id], status)
		}
	}
	text := fmt.Sprintf("%d requests in the unsafe form, %d of them ran more than once", len(newForm), twice)
	p.logf("%s", text)
	fmt.Println(text)
	if len(newForm) < 100 {
		p.cannotRun("too few requests")
	}
	return twice > 0
}
