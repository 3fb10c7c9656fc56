package emulator

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"piernotch"
)

// moveGrace is how long requests on open connections to the previous address may still take after Move.
const moveGrace = 1500 * time.Millisecond

// Discovery emulates the discovery service: it serves the complete endpoint list and watches on its changes.
// Each balancer has its own address, by which Discovery knows the balancer that a response notifies. The methods
// may be called from any goroutine.
type Discovery struct {
	// ServerAddress, if set before the first discovery call, returns the address to list to a balancer for a
	// server, for example a proxy's. The server itself listens at address. Discovery's lock is held during the call.
	ServerAddress func(balancer, server int, address string) string

	fleet      *Fleet
	notified   EndpointNotified // may be nil
	extraDelay atomic.Int64     // ns, added to the delay of states other than Ready

	mu          sync.Mutex // guards the fields below
	listeners   []*http.Server
	addresses   []string // by balancer
	timers      []*time.Timer
	calls       int
	limits      []notifyState // by balancer
	slowest     time.Duration // longest delay of a received notification; see SlowestNotification
	generation  uint64
	endpoints   map[int]*endpoint // by server; servers that were never listed are missing
	changes     map[int]int       // by server: number of changes scheduled so far
	changed     chan struct{}     // closed and replaced at each change
	outages     int               // number of ongoing outages
	outage      context.Context   // done during an outage
	beginOutage context.CancelFunc
}

// endpoint is a server's entry in the endpoint list.
type endpoint struct {
	state         piernotch.State
	startedAt     time.Duration // time of the run
	address       string
	generation    uint64        // the list's generation at the entry's last change
	listedAt      time.Duration // time of the run
	startedUnixMS int64         // 0: before the run
}

func newDiscovery(fleet *Fleet, options Options) (*Discovery, error) {
	service := &Discovery{
		fleet:     fleet,
		notified:  options.Notified,
		endpoints: map[int]*endpoint{},
		changes:   map[int]int{},
		changed:   make(chan struct{}),
		listeners: make([]*http.Server, options.Balancers),
		addresses: make([]string, options.Balancers),
		limits:    make([]notifyState, options.Balancers),
	}
	service.outage, service.beginOutage = context.WithCancel(context.Background())
	for balancer := range options.Balancers {
		if err := service.open(balancer); err != nil {
			service.close()
			return nil, err
		}
	}
	return service, nil
}

// open starts an HTTP server for a balancer's discovery calls at a new address.
func (d *Discovery) open(balancer int) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc(
		"GET /catalog/members",
		func(w http.ResponseWriter, req *http.Request) { d.serveWatch(w, req, balancer) },
	)
	server := &http.Server{Handler: mux}
	d.mu.Lock()
	d.listeners[balancer] = server
	d.addresses[balancer] = listener.Addr().String()
	d.mu.Unlock()
	go func() { _ = server.Serve(listener) }() // ends with Move or close
	return nil
}

// Move gives a balancer's discovery a new address, which Address returns from then on. The previous address
// accepts no new connections. Its open connections are closed after their requests, at the latest after
// moveGrace. The end of ctx does not shorten moveGrace.
func (d *Discovery) Move(ctx context.Context, balancer int) error {
	d.mu.Lock()
	old := d.listeners[balancer]
	d.mu.Unlock()
	if err := d.open(balancer); err != nil {
		return err
	}
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), moveGrace)
	go func() { // ends after moveGrace at the latest
		defer stop()
		if old.Shutdown(ctx) != nil {
			_ = old.Close()
		}
	}()
	return nil
}

// Address returns the host:port of discovery for a balancer. Move changes it.
func (d *Discovery) Address(balancer int) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addresses[balancer]
}

// Calls returns the number of calls by all balancers so far, including failed calls.
func (d *Discovery) Calls() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls
}

// ReadyServer returns a server that is listed as Ready, and its name; false if there is none.
func (d *Discovery) ReadyServer() (server int, name string, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for number, candidate := range d.fleet.servers {
		if listed := d.endpoints[number]; listed != nil && listed.state == piernotch.Ready {
			return number, candidate.name, true
		}
	}
	return 0, "", false
}

// close stops scheduled changes, ends all watches and closes all addresses.
func (d *Discovery) close() {
	d.mu.Lock()
	for _, timer := range d.timers {
		timer.Stop()
	}
	listeners := d.listeners
	beginOutage := d.beginOutage
	d.mu.Unlock()
	beginOutage()
	for _, server := range listeners {
		if server != nil {
			_ = server.Close()
		}
	}
}

// publishAfter lists a server's state after a delay, unless the change is stale by then. For states other than
// Ready, extraDelay is added. The time of the listing is rounded up to a multiple of PublishInterval.
func (d *Discovery) publishAfter(server int, state piernotch.State, delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if state != piernotch.Ready {
		delay += time.Duration(d.extraDelay.Load())
	}
	d.changes[server]++
	change := d.changes[server]
	startedAt := d.fleet.servers[server].startedAt()
	if period := d.fleet.realization.Discovery.PublishInterval; period > 0 {
		now := d.fleet.clock()
		delay = (now+delay+period-1)/period*period - now
	}
	d.timers = append(d.timers, time.AfterFunc(delay, func() {
		if !d.isStale(server, state, change, startedAt) {
			d.publish(server, state, startedAt)
		}
	}))
}

// isStale reports whether a scheduled change must not be listed: the new state is not Ready, a later change
// of the server has been scheduled, and a later start is already listed as Ready.
func (d *Discovery) isStale(server int, state piernotch.State, change int, startedAt time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := d.endpoints[server]
	if listed == nil || state == piernotch.Ready || change >= d.changes[server] {
		return false
	}
	return listed.state == piernotch.Ready && listed.startedAt > startedAt
}

// publish lists a server's state at once, wakes the watches, and schedules notifyOverdue.
func (d *Discovery) publish(server int, state piernotch.State, startedAt time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	listed := &endpoint{
		state:      state,
		startedAt:  startedAt,
		address:    d.fleet.servers[server].currentAddress(),
		generation: d.generation,
		listedAt:   d.fleet.clock(),
	}
	previous := d.endpoints[server]
	switch {
	case previous != nil && previous.startedAt == startedAt:
		listed.startedUnixMS = previous.startedUnixMS // a start keeps its listed time, to the millisecond
	case startedAt > 0:
		listed.startedUnixMS = time.Now().Add(startedAt - d.fleet.clock()).UnixMilli()
	}
	d.endpoints[server] = listed
	close(d.changed)
	d.changed = make(chan struct{})
	d.timers = append(d.timers, time.AfterFunc(notifyLimit, d.notifyOverdue))
}

// setOutage begins or ends an outage. While any outage lasts, watches are aborted and calls fail. When the last
// outage ends, notifyLimit starts anew for all balancers.
func (d *Discovery) setOutage(begins bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if begins {
		d.outages++
		d.beginOutage()
		return
	}
	d.outages--
	if d.outages == 0 {
		d.outage, d.beginOutage = context.WithCancel(context.Background())
		for balancer := range d.limits {
			d.reachableLocked(balancer)
		}
	}
}
