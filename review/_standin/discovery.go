package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// entry is a feed server in discovery's list.
type entry struct {
	Name    string  `json:"instanceId"`
	Address string  `json:"hostPort"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"machineType"`
	Cell    int     `json:"cell"`
	State   string  `json:"lifecycle"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"startedAtMs"`
}

// list is what discovery answers.
type list struct {
	Generation uint64  `json:"generation"`
	Reset      bool    `json:"reset"`
	Instances  []entry `json:"instances"`
}

// discovery is a stand-in for discovery: it answers a watch with the whole list as soon as that is newer than the
// version asked for, and otherwise, after the wait, with no changes. A version that it does not know, a later one, is
// answered with the whole list at once.
type discovery struct {
	play    *play
	address string
	indent  bool // lists come indented

	mu      sync.Mutex
	server  *http.Server // nil while discovery is down
	current list
	changed chan struct{} // closed at the next change
}

func (p *play) startDiscovery(indent bool, entries []entry) *discovery {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		p.cannotRun("%v", err)
	}
	d := &discovery{
		play:    p,
		address: listener.Addr().String(),
		indent:  indent,
		current: list{Generation: 41, Reset: true, Instances: entries},
		changed: make(chan struct{}),
	}
	d.listen(listener)
	return d
}

func (d *discovery) listen(listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("/catalog/members", d.serve)
	d.server = &http.Server{Handler: mux}
	server := d.server
	go func() { _ = server.Serve(listener) }()
}

// goDown ends all calls, and has new ones refused.
func (d *discovery) goDown() {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.server.Close()
	d.server = nil
}

// comeBack ends the outage. Discovery then has a list under a generation.
func (d *discovery) comeBack(generation uint64, entries []entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.current = list{Generation: generation, Reset: true, Instances: entries}
	listener, err := net.Listen("tcp", d.address)
	if err != nil {
		d.play.cannotRun("%v", err)
	}
	d.listen(listener)
}

// update replaces the list, and returns the size of the answer that tells it.
func (d *discovery) update(entries []entry) (size int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.current = list{Generation: d.current.Generation + 1, Reset: true, Instances: entries}
	close(d.changed)
	d.changed = make(chan struct{})
	return len(d.encode(d.current))
}

func (d *discovery) encode(l list) []byte {
	if d.indent {
		data, _ := json.MarshalIndent(l, "", "  ")
		return data
	}
	data, _ := json.Marshal(l)
	return data
}

func (d *discovery) serve(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	index, _ := strconv.ParseUint(query.Get("index"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait"))
	isWatch := query.Has("index")
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	d.mu.Lock()
	for {
		current, changed := d.current, d.changed
		if !isWatch || current.Generation != index {
			d.mu.Unlock()
			d.answer(w, current)
			return
		}
		d.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			d.answer(w, list{Generation: current.Generation, Instances: []entry{}})
			return
		case <-r.Context().Done():
			return
		}
		d.mu.Lock()
	}
}

func (d *discovery) answer(w http.ResponseWriter, l list) {
	data := d.encode(l)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data)
}
