package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// lostVersions: balancers share one watch of discovery. Discovery is down for some seconds and has lost its versions
// when it is back: it counts from 1 again. Half of the feed servers drain from then on.
func lostVersions(p *play) bool {
	const (
		balancers = 6
		servers   = 8
		outage    = 8 * time.Second
		grace     = 2 * time.Second // rules.drain_grace_ms
	)
	var mu sync.Mutex
	owner := map[string]int{} // balancer, by request
	var draining time.Time    // when discovery could tell the change; zero: not yet
	late := make([]int, balancers)
	latest := make([]time.Duration, balancers) // the last arrival at a draining server, after the change
	var before, after []entry
	for i := range servers {
		drains := i%2 == 0
		s := p.startFeedServer(&feedServer{
			name: fmt.Sprintf("s-%d", i), work: workOf(10 * time.Millisecond),
			begun: func(a arrival) {
				mu.Lock()
				defer mu.Unlock()
				if !drains || draining.IsZero() {
					return
				}
				age := a.at.Sub(draining)
				n := owner[a.id]
				latest[n] = max(latest[n], age)
				if age > toldAfter+grace+slack {
					late[n]++
					p.logf("BROKEN: %s, draining for %.3f s, gets %s from balancer n%d", a.server, age.Seconds(), a.id, n)
				}
			},
			copyAfter: func(arrival) time.Duration { return 0 },
			reply:     func(a arrival) (int, string) { return http.StatusOK, "done: " + a.id },
		})
		e := entry{Name: s.name, Address: s.address, Zone: "addis", Kind: "mid", State: "in_service", Weight: 1}
		before = append(before, e)
		if drains {
			e.State = "terminating"
		}
		after = append(after, e)
	}
	found := p.startDiscovery(false, before)
	groups := p.startGroup(balancers)
	var addresses []string
	for i := range balancers {
		settings := feedSettings()
		settings["group_size"], settings["my_number"] = balancers, i
		name, address := fmt.Sprintf("n%d", i), p.freeAddress()
		config := p.writeJSON(name+".json", object{
			"name": name, "listen": address, "discovery": found.address, "seed": fmt.Sprintf("%016x", rand.Uint64()),
			"limits": object{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
			"known":  list{Generation: 40, Reset: true, Instances: before}, "settings": settings,
		})
		p.start(name, p.runCommand()+" --group "+groups[i], "ROUTER_CONFIG="+config)
		addresses = append(addresses, address)
	}
	for _, address := range addresses {
		p.awaitHealthy(address)
	}
	time.Sleep(8 * time.Second) // the group elects a leader, and one balancer polls for all

	served := 0
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range balancers * 2 {
		clients.Go(func() {
			c := &client{address: addresses[i%balancers]}
			defer c.close()
			for {
				select {
				case <-stop:
					return
				case <-time.After(rand.N(100 * time.Millisecond)):
				}
				id := newID()
				mu.Lock()
				owner[id] = i % balancers
				mu.Unlock()
				a := c.do(request{id: id, method: "POST", target: "/pick-submit", body: "pick " + id, deadline: 3 * time.Second})
				if a.status == http.StatusOK {
					mu.Lock()
					served++
					mu.Unlock()
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	if p.trouble {
		found.goDown()
		p.logf("discovery is down")
		time.Sleep(outage)
		found.comeBack(1, after)
		p.logf("discovery is back, with generation 1; half of the feed servers drain")
	} else {
		found.update(after)
		p.logf("half of the feed servers drain")
	}
	mu.Lock()
	draining = time.Now()
	mu.Unlock()
	time.Sleep(30 * time.Second)
	close(stop)
	clients.Wait()

	broken := 0
	for i := range balancers {
		text := fmt.Sprintf("balancer n%d sent to draining servers up to %.3f s after discovery could tell, %d times after "+
			"the bound of %.3f s", i, latest[i].Seconds(), late[i], (toldAfter + grace + slack).Seconds())
		p.logf("%s", text)
		fmt.Println(text)
		broken += late[i]
	}
	p.logf("served %d", served)
	if served < 500 {
		p.cannotRun("only %d requests were served", served)
	}
	return broken > 0
}
