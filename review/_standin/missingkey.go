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

// run is one attempt of a request that an order box has received.
type run struct {
	box, building string
	executed      bool // not dropped as a repeat
}

// missingKey: the file read at SIGHUP lacks a key of order-change, the group of order boxes that drop repeats. One of
// six order boxes fails many of its requests with 500, after their work.
func missingKey(p *play) bool {
	const keptFor = 6 * time.Second // the order boxes of one building drop a repeat for so long
	buildings := []string{"worcester", "nashua"}
	var mu sync.Mutex
	attempts := map[string][]run{} // by request
	seen := map[string]time.Time{} // when a building met a key
	answers := map[string]string{} // by request
	var failing atomic.Bool
	var entries []entry
	for i := range 6 {
		name, building := fmt.Sprintf("b-%d", i), buildings[i/3]
		s := p.startFeedServer(&feedServer{
			name: name, path: time.Millisecond / 2, work: workOf(50 * time.Millisecond),
			begun: func(a arrival) {
				p.logf("%s in %s gets %s %s, key %q", name, building, a.id, a.target, a.key)
			},
			copyAfter: func(arrival) time.Duration { return 0 },
			reply: func(a arrival) (status int, body string) {
				mu.Lock()
				defer mu.Unlock()
				place := building + " " + a.key
				executed := time.Since(seen[place]) > keptFor
				if executed {
					seen[place] = time.Now()
				}
				attempts[a.id] = append(attempts[a.id], run{name, building, executed})
				if name == "b-0" && failing.Load() && rand.IntN(100) < 80 {
					return http.StatusInternalServerError, "error after the work of " + a.id
				}
				return http.StatusOK, "done: " + a.id
			},
		})
		entries = append(entries, entry{
			Name: s.name, Address: s.address, Zone: building, Kind: "middle", State: "in_service", Weight: 1,
		})
	}
	found := p.startDiscovery(false, entries)
	address := p.freeAddress()
	config := object{
		"name": "n0", "listen": address, "discovery": found.address, "seed": fmt.Sprintf("%016x", rand.Uint64()),
		"limits": object{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":  list{Generation: 41, Reset: true, Instances: entries}, "settings": orderSettings(false),
	}
	balancer := p.start("balancer", p.runCommand(), "ROUTER_CONFIG="+p.writeJSON("config.json", config))
	p.awaitHealthy(address)

	until := time.Now().Add(25 * time.Second)
	var clients sync.WaitGroup
	for range 12 {
		clients.Go(func() {
			c := &client{address: address}
			defer c.close()
			for time.Now().Before(until) {
				id := newID()
				a := c.do(request{
					id: id, method: "POST", target: "/order-change", key: newID() + newID(), body: "change " + id,
					deadline: 1200 * time.Millisecond,
				})
				p.logf("client sent %s and got %d after %d ms", id, a.status, a.took.Milliseconds())
				mu.Lock()
				answers[id] = fmt.Sprint(a.status)
				mu.Unlock()
				time.Sleep(rand.N(50 * time.Millisecond))
			}
		})
	}
	time.Sleep(3 * time.Second)
	if p.trouble { // SIGHUP comes never in the first second, nor before the balancer is ready
		settings := orderSettings(false)
		delete(settings["classes"].([]object)[0], "dedup_scope")
		config["settings"] = settings
		p.writeJSON("config.json", config)
		p.logf("a file without dedup_scope of order-change, and SIGHUP")
		balancer.signal(syscall.SIGHUP)
	}
	time.Sleep(time.Second)
	p.logf("b-0 begins to fail many requests")
	failing.Store(true)
	clients.Wait()

	mu.Lock()
	defer mu.Unlock()
	repeated, outside, twice := 0, 0, 0
	for id, runs := range attempts {
		executed := 0
		isOutside := false
		for _, r := range runs {
			isOutside = isOutside || r.building != runs[0].building
			if r.executed {
				executed++
			}
		}
		if len(runs) > 1 {
			repeated++
		}
		if isOutside {
			outside++
			p.logf("BROKEN: %s was sent again outside the building that may have run it: %+v; its client got %s",
				id, runs, answers[id])
		}
		if executed > 1 {
			twice++
		}
	}
	text := fmt.Sprintf("%d requests, %d sent more than once, %d of them outside the first building, %d run twice",
		len(answers), repeated, outside, twice)
	p.logf("%s", text)
	fmt.Println(text)
	if len(answers) < 500 {
		p.cannotRun("too few requests")
	}
	return outside > 0
}
