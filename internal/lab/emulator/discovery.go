package emulator

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"piernotch"
)

// EndpointNotified is called when the roster has written a server's state to a balancer.
type EndpointNotified func(balancer, server int, state piernotch.State, born time.Duration)

// Discovery is a stand-in for discovery: the whole list, and a watch on its changes. Each
// balancer asks at an address of its own, so that it is known who was told what.
type Discovery struct {
	// ServerAddress, if set before the first call, tells where a balancer reaches a server that listens
	// at an address: relays may stand between.
	ServerAddress func(balancer, server int, address string) string

	fleet      *Fleet
	notified   EndpointNotified
	calls      int
	extraDelay atomic.Int64 // a trouble's further lateness, ns
	servers    []*http.Server
	addresses  []string
	timers     []*time.Timer

	mu          sync.Mutex
	version     uint64
	endpoints   map[int]*endpoint
	changes     map[int]int
	changed     chan struct{} // closed at the next change
	outages     int
	outage      context.Context // ends with an outage
	beginOutage context.CancelFunc
}

type endpoint struct {
	state         piernotch.State
	startedAt     time.Duration
	address       string
	version       uint64
	startedUnixMS int64 // born as Unix ms; 0: long ago
}

func newDiscovery(f *Fleet, balancers int, told EndpointNotified) (*Discovery, error) {
	r := &Discovery{
		fleet: f, notified: told, endpoints: map[int]*endpoint{}, changes: map[int]int{}, changed: make(chan struct{}),
	}
	r.outage, r.beginOutage = context.WithCancel(context.Background())
	for i := range balancers {
		r.servers, r.addresses = append(r.servers, nil), append(r.addresses, "")
		if err := r.open(i); err != nil {
			r.close()
			return nil, err
		}
	}
	return r, nil
}

// open has a balancer's roster listen at a new address.
func (r *Discovery) open(balancer int) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("roster: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", func(w http.ResponseWriter, req *http.Request) { r.serveWatch(w, req, balancer) })
	s := &http.Server{Handler: mux}
	r.mu.Lock()
	r.servers[balancer], r.addresses[balancer] = s, l.Addr().String()
	r.mu.Unlock()
	go func() { _ = s.Serve(l) }()
	return nil
}

// moveGrace is how long open connections to an address that was left still work.
const moveGrace = 1500 * time.Millisecond

// Move has a balancer's roster go to another address, which Address tells from then on.
// The old one takes no new connections, and closes the open ones after a while.
func (r *Discovery) Move(balancer int) error {
	r.mu.Lock()
	old := r.servers[balancer]
	r.mu.Unlock()
	if err := r.open(balancer); err != nil {
		return err
	}
	ctx, stop := context.WithTimeout(context.Background(), moveGrace)
	go func() {
		defer stop()
		if old.Shutdown(ctx) != nil {
			_ = old.Close()
		}
	}()
	return nil
}

// Address is where a balancer asks.
func (r *Discovery) Address(balancer int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.addresses[balancer]
}

func (r *Discovery) close() {
	r.mu.Lock()
	for _, t := range r.timers {
		t.Stop()
	}
	r.mu.Unlock()
	r.beginOutage()
	for _, s := range r.servers {
		if s != nil {
			_ = s.Close()
		}
	}
}

// publishAfter lists a change after a while. What is known of a later start goes before it.
func (r *Discovery) publishAfter(server int, state piernotch.State, after time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if state != piernotch.Ready {
		after += time.Duration(r.extraDelay.Load())
	}
	r.changes[server]++
	seq := r.changes[server]
	s := r.fleet.servers[server]
	s.mu.Lock()
	born := s.model.Started()
	s.mu.Unlock()
	// Changes are published in steps.
	if p := r.fleet.day.Discovery.Period; p > 0 {
		now := r.fleet.clock()
		after = (now+after+p-1)/p*p - now
	}
	r.timers = append(r.timers, time.AfterFunc(after, func() {
		r.mu.Lock()
		e := r.endpoints[server]
		stale := e != nil && seq < r.changes[server] && state != piernotch.Ready && e.state == piernotch.Ready && e.startedAt > born
		r.mu.Unlock()
		if !stale {
			r.publish(server, state, born)
		}
	}))
}

// publish lists a server's state at once.
func (r *Discovery) publish(server int, state piernotch.State, born time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	s := r.fleet.servers[server]
	s.mu.Lock()
	address := s.address
	s.mu.Unlock()
	e := &endpoint{state: state, startedAt: born, address: address, version: r.version}
	if was := r.endpoints[server]; was != nil && was.startedAt == born {
		e.startedUnixMS = was.startedUnixMS // the same start is told as the same to the millisecond
	} else if born > 0 {
		e.startedUnixMS = time.Now().Add(born - r.fleet.clock()).UnixMilli()
	}
	r.endpoints[server] = e
	close(r.changed)
	r.changed = make(chan struct{})
}

// setOutage ends all watches, and has calls fail until it is over.
func (r *Discovery) setOutage(begins bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !begins {
		r.outages--
		if r.outages == 0 {
			r.outage, r.beginOutage = context.WithCancel(context.Background())
		}
		return
	}
	r.outages++
	r.beginOutage()
}

type instanceJSON struct {
	InstanceID  string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`
}

type listJSON struct {
	Generation uint64         `json:"generation"`
	Reset      bool           `json:"reset"`
	Instances  []instanceJSON `json:"instances"`
}

var lifecycles = map[piernotch.State]string{
	piernotch.Ready: "in_service", piernotch.Draining: "terminating", piernotch.Gone: "terminated",
}

// endpointList is what has changed since a version, or with whole everything that is there. The
// lock is held.
func (r *Discovery) endpointList(balancer int, since uint64, whole bool) (listJSON, []int) {
	out := listJSON{Generation: r.version, Reset: whole, Instances: []instanceJSON{}}
	var servers []int
	for i := range r.fleet.servers {
		e := r.endpoints[i]
		if e == nil || !whole && e.version <= since || whole && e.state == piernotch.Gone {
			continue
		}
		s, address := r.fleet.servers[i], e.address
		if r.ServerAddress != nil {
			address = r.ServerAddress(balancer, i, address)
		}
		out.Instances = append(out.Instances, instanceJSON{
			s.name, address, r.fleet.day.Zones[s.spec.Zone], s.spec.Kind.Name, s.spec.Cell, lifecycles[e.state], s.spec.Size, e.startedUnixMS,
		})
		servers = append(servers, i)
	}
	return out, servers
}

// ReadyServer returns a server that is listed as ready, and its name; false: none is.
func (r *Discovery) ReadyServer() (server int, name string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, s := range r.fleet.servers {
		if e := r.endpoints[i]; e != nil && e.state == piernotch.Ready {
			return i, s.name, true
		}
	}
	return 0, "", false
}

// EndpointList is the whole list as JSON, as a balancer's configuration holds it.
func (r *Discovery) EndpointList(balancer int) json.RawMessage {
	r.mu.Lock()
	defer r.mu.Unlock()
	l, _ := r.endpointList(balancer, 0, true)
	data, _ := json.Marshal(l)
	return data
}

// Calls returns how many calls have come.
func (r *Discovery) Calls() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls
}

func (r *Discovery) serveWatch(w http.ResponseWriter, req *http.Request, balancer int) {
	r.mu.Lock()
	r.calls++
	r.mu.Unlock()
	index, ierr := strconv.ParseUint(req.URL.Query().Get("index"), 10, 64)
	wait, _ := strconv.Atoi(req.URL.Query().Get("wait"))
	deadline := time.NewTimer(time.Duration(min(max(wait, 0), 60000)) * time.Millisecond)
	defer deadline.Stop()
	for {
		r.mu.Lock()
		cut, changed := r.outage, r.changed
		if r.outages > 0 {
			r.mu.Unlock()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		whole := ierr != nil || index > r.version
		if whole || r.version > index || wait <= 0 {
			l, servers := r.endpointList(balancer, index, whole)
			states := make([]endpoint, len(servers))
			for i, s := range servers {
				states[i] = *r.endpoints[s]
			}
			r.mu.Unlock()
			data, _ := json.Marshal(l)
			w.Header().Set("Content-Type", "application/json")
			if _, err := w.Write(data); err == nil && r.notified != nil {
				for i, s := range servers {
					r.notified(balancer, s, states[i].state, states[i].startedAt)
				}
			}
			return
		}
		r.mu.Unlock()
		select {
		case <-changed:
		case <-deadline.C:
			wait = 0
		case <-cut.Done():
			panic(http.ErrAbortHandler) // the connection breaks
		case <-req.Context().Done():
			return
		}
	}
}
