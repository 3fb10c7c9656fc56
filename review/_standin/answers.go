package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// feedSettings returns the settings of a small deployment after addis-feeds.toml.
func feedSettings() object {
	class := func(name, effect string, aim, deadline, points int) object {
		return object{
			"name": name, "goal_time_ms": aim, "deadline_ms": deadline, "points": points, "late_worth": 0,
			"effect": effect,
		}
	}
	return object{
		"group_size": 1, "my_number": 0, "my_zone": 0, "zones": []string{"addis", "adama"}, "quantum_ms": 5,
		"discovery": "on_request",
		"classes": []object{
			class("segment-read", "safe", 1200, 5000, 5),
			class("pick-submit", "unsafe", 2500, 5000, 8),
			class("packet-append", "unsafe", 2500, 6000, 3),
		},
		"limits": object{
			"most_tries": 4, "second_copies": true, "cancelling": true, "may_probe": true, "retry_after": false,
			"max_retry_after_ms": 2000, "keepalive_ms": 60000, "dial_timeout_ms": 250,
		},
		"rules": object{
			"answer_slack_ms": 20, "ask_within_ms": 10000, "cold_from": 0.12, "cold_ms": 24000,
			"drain_grace_ms": 2000, "fall_multiple": 2.5, "overload_for_ms": 2000,
		},
		"specifics": object{"warm_keys": true}, "tenants": []object{}, "over_share_worth": 0.1,
	}
}

// feed is a balancer with its feed servers and clients, and what was made and answered.
type feed struct {
	play      *play
	settings  object
	sockets   int
	addresses []string // of the balancers

	mu     sync.Mutex
	made   map[string]map[string]bool // bodies that feed servers made, by request
	serial int
	copies int
	// noCopies is set while feed servers send no second copies.
	noCopies atomic.Bool
	// foreign counts answers of 200 whose body no feed server made for their request.
	foreign, served, other atomic.Int64
}

func newFeed(p *play) *feed {
	return &feed{play: p, settings: feedSettings(), sockets: 1024, made: map[string]map[string]bool{}}
}

// begin starts discovery and the balancers for the servers.
func (f *feed) begin(balancers int, servers []*feedServer) {
	p := f.play
	var entries []entry
	for _, s := range servers {
		entries = append(entries, entry{
			Name: s.name, Address: s.address, Zone: "adama", Kind: "mid", State: "in_service", Weight: 1,
		})
	}
	found := p.startDiscovery(false, entries)
	for i := range balancers {
		name, address := fmt.Sprintf("n%d", i), p.freeAddress()
		f.settings["group_size"], f.settings["my_number"] = balancers, i
		config := p.writeJSON(name+".json", object{
			"name": name, "listen": address, "discovery": found.address, "seed": fmt.Sprintf("%016x", rand.Uint64()),
			"limits": object{"cores": 1.0, "memory_mb": 192, "sockets": f.sockets},
			"known":  list{Generation: 41, Reset: true, Instances: entries}, "settings": f.settings,
		})
		p.start(name, p.runCommand(), "ROUTER_CONFIG="+config)
		f.addresses = append(f.addresses, address)
	}
	for _, address := range f.addresses {
		p.awaitHealthy(address)
	}
}

// reply makes an answer that no other request gets.
func (f *feed) reply(a arrival) (status int, body string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.serial++
	body = fmt.Sprintf("%s: %s %s for request %s, answer %d", a.server, a.method, a.target, a.id, f.serial)
	if f.made[a.id] == nil {
		f.made[a.id] = map[string]bool{}
	}
	f.made[a.id][body] = true
	return http.StatusOK, body
}

// copyIn returns a function by which one in so many answers gets a second copy, late by a time in [from, to).
func (f *feed) copyIn(many int, from, to time.Duration) func(arrival) time.Duration {
	return func(arrival) time.Duration {
		if !f.play.trouble || f.noCopies.Load() || rand.IntN(many) != 0 {
			return 0
		}
		f.mu.Lock()
		f.copies++
		f.mu.Unlock()
		return from + rand.N(to-from)
	}
}

// ask sends a request and judges its answer.
func (f *feed) ask(c *client, r request) answer {
	f.play.logf("client sends %s %s %s", r.id, r.method, r.target)
	a := c.do(r)
	f.play.logf("client gets  %s %d %q after %d ms %v", r.id, a.status, a.body, a.took.Milliseconds(), a.err)
	switch {
	case a.status != http.StatusOK:
		f.other.Add(1)
	default:
		f.served.Add(1)
		f.mu.Lock()
		own := f.made[r.id][a.body]
		f.mu.Unlock()
		if !own {
			f.foreign.Add(1)
			f.play.logf("BROKEN: %s %s was served with an answer that no feed server made for it", r.id, r.target)
		}
	}
	return a
}

func (f *feed) broken() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.play.logf("served %d, of these with a foreign answer %d; not served %d; second copies %d",
		f.served.Load(), f.foreign.Load(), f.other.Load(), f.copies)
	fmt.Printf("served %d, of these with a foreign answer %d; not served %d; second copies %d\n",
		f.served.Load(), f.foreign.Load(), f.other.Load(), f.copies)
	if f.served.Load() < 20 {
		f.play.cannotRun("only %d requests were served", f.served.Load())
	}
	return f.foreign.Load() > 0
}

// workOf returns a function that draws the work of a request with a mean of about mean.
func workOf(mean time.Duration) func(arrival) time.Duration {
	return func(arrival) time.Duration { return mean/2 + rand.N(mean) }
}

// equalReads: at each balancer some clients read the same key again and again, and one has other reads and writes. Feed
// servers answer some requests a second time, some milliseconds late.
func equalReads(p *play) bool {
	const (
		servers   = 12
		balancers = 3
		followers = 3 // at each balancer
		length    = 20 * time.Second
	)
	f := newFeed(p)
	var all []*feedServer
	for i := range servers {
		all = append(all, p.startFeedServer(&feedServer{
			name: fmt.Sprintf("s-%d", i), path: 12 * time.Millisecond, work: workOf(90 * time.Millisecond),
			copyAfter: f.copyIn(20, 12*time.Millisecond, 20*time.Millisecond), reply: f.reply, begun: func(arrival) {},
		}))
	}
	f.begin(balancers, all)
	until := time.Now().Add(length)
	var clients sync.WaitGroup
	for i := range balancers * followers { // each follows one station: it reads the newest segment again and again
		clients.Go(func() {
			c := &client{address: f.addresses[i%balancers]}
			defer c.close()
			for time.Now().Before(until) {
				target := fmt.Sprintf("/segment-read?k=7f3a9c2%d", i)
				r := request{id: newID(), method: "GET", target: target, deadline: 4 * time.Second}
				if f.ask(c, r).status != http.StatusOK {
					time.Sleep(200 * time.Millisecond)
				}
			}
		})
	}
	for i := range balancers {
		clients.Go(func() {
			c := &client{address: f.addresses[i]}
			defer c.close()
			for time.Now().Before(until) {
				key := fmt.Sprintf("%08x", rand.IntN(300))
				r := request{id: newID(), method: "GET", target: "/segment-read?k=" + key, deadline: 4 * time.Second}
				if rand.IntN(2) == 0 {
					r.method, r.target, r.body = "POST", "/pick-submit?k="+key, "a pick"
				}
				f.ask(c, r)
				time.Sleep(rand.N(400 * time.Millisecond))
			}
		})
	}
	clients.Wait()
	return f.broken()
}

// heldAnswer: on an overloaded day, feed servers answer some requests a second time, some milliseconds late.
func heldAnswer(p *play) bool {
	const (
		servers   = 6
		balancers = 4
		meanWork  = 150 * time.Millisecond
		load      = 1.3 // requests asked for, as a multiple of those that the feed servers can take
		retries   = 2
		length    = 40 * time.Second
	)
	f := newFeed(p)
	var all []*feedServer
	for i := range servers {
		all = append(all, p.startFeedServer(&feedServer{
			name: fmt.Sprintf("s-%d", i), path: 12 * time.Millisecond, work: workOf(meanWork),
			copyAfter: f.copyIn(20, 12*time.Millisecond, 20*time.Millisecond), reply: f.reply, begun: func(arrival) {},
		}))
	}
	f.begin(balancers, all)
	// Second copies begin once the day's load is there.
	f.noCopies.Store(true)
	time.AfterFunc(5*time.Second, func() { f.noCopies.Store(false) })
	rate := load * servers / meanWork.Seconds()
	idle := make([]chan *client, balancers) // clients with a connection and nothing to ask
	for i := range idle {
		idle[i] = make(chan *client, 1000)
	}
	var requests sync.WaitGroup
	for until := time.Now().Add(length); time.Now().Before(until); {
		time.Sleep(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
		requests.Go(func() {
			n := rand.IntN(balancers)
			c := &client{address: f.addresses[n]}
			select {
			case c = <-idle[n]:
			default:
			}
			key := fmt.Sprintf("%08x", rand.IntN(300))
			r := request{method: "GET", target: "/segment-read?k=" + key, deadline: 4 * time.Second}
			if rand.IntN(2) == 0 {
				r.method, r.target, r.body = "POST", "/pick-submit?k="+key, "a pick"
			}
			for try := range 1 + retries { // a client tries again only after a refusal
				time.Sleep(time.Duration(try) * (60 + rand.N[time.Duration](180)) * time.Millisecond)
				r.id = newID()
				if f.ask(c, r).status != http.StatusServiceUnavailable {
					break
				}
			}
			idle[n] <- c
		})
	}
	requests.Wait()
	return f.broken()
}
