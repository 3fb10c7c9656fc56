package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const (
	groupBalancers = 6
	oldServers     = 1500
	newServers     = 750

	// drainGrace is the settings' rules.drain_grace_ms.
	drainGrace = 500 * time.Millisecond
	// toldAfter is when a change counts as told at the latest: 6 s after discovery has it, whether it arrived or not.
	// The page on duties names less, 4 s and one poll.
	toldAfter = 6 * time.Second
	// slack is that of every time limit on sockets.
	slack = 50 * time.Millisecond
)

// startGroup starts three voters, and returns the paths of the balancers' group files.
func (p *play) startGroup(balancers int) []string {
	var voters strings.Builder
	for i := range 3 {
		fmt.Fprintf(&voters, "\n[[voter]]\nname = \"v%d\"\naddress = \"%s\"\n", i, p.freeAddress())
	}
	write := func(self, more string) string {
		path := filepath.Join(p.folder, self+".toml")
		text := fmt.Sprintf("name = \"review\"\nself = \"%s\"\nlength_ms = 2000\n%s%s", self, more, voters.String())
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			p.cannotRun("%v", err)
		}
		return path
	}
	for i := range 3 {
		name := fmt.Sprintf("v%d", i)
		path := write(name, fmt.Sprintf("disk = \"%s\"\n", filepath.Join(p.folder, name+".voter")))
		p.start(name, "exec bin/piernotch-voter --group "+path)
	}
	var paths []string
	for i := range balancers {
		paths = append(paths, write(fmt.Sprintf("n%d", i), "watch = \"watch/all\"\nsource = \"catalog\"\n"))
	}
	return paths
}

// largeList: balancers share one watch of discovery. A release step lists new servers and has as many old ones
// drain. With the disruption, lists come indented, and the list grows beyond 512 KiB.
func largeList(p *play) bool {
	var mu sync.Mutex
	owner := map[string]int{} // balancer, by request
	var draining time.Time    // when discovery had the change; zero: not yet
	late := make([]int, groupBalancers)
	latest := make([]time.Duration, groupBalancers) // the last arrival at a draining server, after the change
	begun := func(drains bool) func(arrival) {
		return func(a arrival) {
			mu.Lock()
			defer mu.Unlock()
			if !drains || draining.IsZero() {
				return
			}
			after := a.at.Sub(draining)
			n := owner[a.id]
			latest[n] = max(latest[n], after)
			if after > toldAfter+drainGrace+slack {
				late[n]++
				p.logf("BROKEN: %s, draining for %.3f s, gets %s from balancer n%d", a.server, after.Seconds(), a.id, n)
			}
		}
	}
	var before, after []entry
	for i := range oldServers + newServers {
		isOld, drains := i < oldServers, i%2 == 0 && i < oldServers
		s := p.startFeedServer(&feedServer{
			name: fmt.Sprintf("b-%08x", rand.Uint32()), work: workOf(10 * time.Millisecond), begun: begun(drains),
			copyAfter: func(arrival) time.Duration { return 0 },
			reply:     func(a arrival) (int, string) { return http.StatusOK, "done: " + a.id },
		})
		e := entry{Name: s.name, Address: s.address, Zone: "worcester", Kind: "middle", State: "in_service", Weight: 1}
		if isOld {
			before = append(before, e)
		}
		if drains {
			e.State = "terminating"
		}
		after = append(after, e)
	}
	found := p.startDiscovery(p.trouble, before)
	groups := p.startGroup(groupBalancers)
	var addresses []string
	for i := range groupBalancers {
		settings := orderSettings(true)
		settings["group_size"], settings["my_number"] = groupBalancers, i
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

	until := time.Now().Add(20 * time.Second)
	var clients sync.WaitGroup
	served := 0
	for i := range groupBalancers * 4 {
		clients.Go(func() {
			c := &client{address: addresses[i%groupBalancers]}
			defer c.close()
			for time.Now().Before(until) {
				id := newID()
				mu.Lock()
				owner[id] = i % groupBalancers
				mu.Unlock()
				a := c.do(request{id: id, method: "POST", target: "/order-place", body: "order " + id, deadline: 2 * time.Second})
				if a.status == http.StatusOK {
					mu.Lock()
					served++
					mu.Unlock()
				}
				time.Sleep(rand.N(100 * time.Millisecond))
			}
		})
	}
	time.Sleep(3 * time.Second)
	mu.Lock()
	size := found.update(after)
	draining = time.Now()
	mu.Unlock()
	p.logf("discovery has the change: a list of %d servers, %d bytes", len(after), size)
	clients.Wait()

	broken := 0
	for i := range groupBalancers {
		text := fmt.Sprintf("balancer n%d sent to draining servers up to %.3f s after discovery had the change, %d times "+
			"after the bound of %.3f s", i, latest[i].Seconds(), late[i], (toldAfter + drainGrace + slack).Seconds())
		p.logf("%s", text)
		fmt.Println(text)
		broken += late[i]
	}
	p.logf("list of %d bytes; served %d", size, served)
	if served < 500 {
		p.cannotRun("only %d requests were served", served)
	}
	return broken > 0
}
