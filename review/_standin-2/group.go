package main

import (
	"fmt"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"time"
)

// The rule on drains, with its slack: a change counts as told at the latest toldWithin after discovery had it, and no
// request is sent later than drainGrace after that.
const (
	toldWithin = 6 * time.Second
	drainGrace = 2 * time.Second
	slack      = 50 * time.Millisecond
)

// group is a control group of three voters with its balancers, which share a watch.
type group struct {
	run      *run
	voters   []string
	balancer []string // addresses for clients
}

func newGroup(r *run, balancers int) (*group, error) {
	addresses := freeAddresses(3 + balancers)
	g := &group{run: r, voters: addresses[:3], balancer: addresses[3:]}
	for i := range g.voters {
		name := fmt.Sprintf("v%d", i)
		if _, err := r.program(name, nil, "piernotch-voter", "--group", g.file(name, true)); err != nil {
			return nil, err
		}
	}
	return g, nil
}

// file writes the group file of a member.
func (g *group) file(name string, votes bool) string {
	var text strings.Builder
	fmt.Fprintf(&text, "name = \"review\"\nself = %q\nlength_ms = 2000\ndrift = 0.01\nduties = []\n", name)
	fmt.Fprintf(&text, "watch = \"watch/addis\"\nsource = \"addis\"\n")
	if votes {
		fmt.Fprintf(&text, "disk = %q\n", g.run.path(name+".voter"))
	}
	for i, address := range g.voters {
		fmt.Fprintf(&text, "[[voter]]\nname = \"v%d\"\naddress = %q\n", i, address)
	}
	return g.run.write(name+"-group.toml", text.String())
}

// start starts a balancer of the group. known is a list in discovery's form, or "".
func (g *group) start(number int, discovery, known string) (*exec.Cmd, error) {
	name := fmt.Sprintf("n%d", number)
	knownFile := ""
	if known != "" {
		g.run.write(name+"-known.json", known)
		knownFile = fmt.Sprintf("known_file = \"%s-known.json\"\n", name)
	}
	config := g.run.write(name+".toml", fmt.Sprintf(`name = %q
listen = %q
discovery = %q
%s
[balancers]
count = %d
zone = "addis"
[rules]
ask_within_ms = 6000
[[class]]
name = "segment-read"
aim_ms = 1200
deadline_ms = 5000
worth = 5
effect = "safe"
[[class]]
name = "pick-submit"
aim_ms = 2500
deadline_ms = 5000
worth = 8
effect = "unsafe"
`, name, g.balancer[number], discovery, knownFile, len(g.balancer)))
	process, err := g.run.program(name, nil, "piernotch", "serve", "--config", config, "--group", g.file(name, false))
	if err != nil {
		return nil, err
	}
	if !waitFor(10*time.Second, func() bool { return healthy(g.balancer[number]) }) {
		return nil, fmt.Errorf("%s is not ready", name)
	}
	return process, nil
}

// fleet is a few servers with the requests that each got.
type fleet struct {
	run *run

	mu   sync.Mutex
	sent []arrival
}

// arrival is a request at a server.
type arrival struct {
	server, id string
	at         time.Duration
}

// newFleet starts servers and returns them with their entries for discovery.
func newFleet(r *run, count int) (*fleet, []instance, error) {
	f := &fleet{run: r}
	var instances []instance
	for i, address := range freeAddresses(count) {
		name := fmt.Sprintf("s-%d", i)
		got := func(server *feedServer, request *http.Request) {
			id := request.Header.Get("X-Request-Id")
			f.mu.Lock()
			f.sent = append(f.sent, arrival{server.name, id, r.since()})
			f.mu.Unlock()
			r.note("server %s got %s", server.name, id)
		}
		if _, err := newFeedServer(r, name, address, 20*time.Millisecond, got); err != nil {
			return nil, nil, err
		}
		instances = append(instances, instance{
			ID: name, Address: address, Zone: "addis", Machine: "mid", Lifecycle: "in_service", Weight: 1,
		})
	}
	return f, instances, nil
}

// after returns the requests of a balancer that a server got after a time.
func (f *fleet) after(server, balancer string, at time.Duration) []arrival {
	f.mu.Lock()
	defer f.mu.Unlock()
	var late []arrival
	for _, got := range f.sent {
		if got.server == server && strings.HasPrefix(got.id, balancer+"-") && got.at > at {
			late = append(late, got)
		}
	}
	return late
}

// load asks a balancer rate times a second until stop is closed. IDs begin with the balancer's name.
func (g *group) load(number int, rate float64, stop <-chan struct{}) {
	askAlways(g.run, g.balancer[number], fmt.Sprintf("n%d", number), rate, stop)
}
