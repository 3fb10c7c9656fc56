package emulator

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"piernotch"
)

// maxWatch bounds how long a watch may wait for a change.
const maxWatch = time.Minute

// The JSON encoding of the endpoint list in responses of discovery.
type (
	listJSON struct {
		Generation uint64         `json:"generation"`
		Reset      bool           `json:"reset"`
		Endpoints  []endpointJSON `json:"instances"`
	}

	endpointJSON struct {
		ServerID    string  `json:"instanceId"`
		HostPort    string  `json:"hostPort"`
		Zone        string  `json:"zone"`
		MachineType string  `json:"machineType"`
		Cell        int     `json:"cell"`
		Lifecycle   string  `json:"lifecycle"`
		Weight      float64 `json:"weight"`
		StartedAtMs int64   `json:"startedAtMs"`
	}
)

var lifecycles = map[piernotch.State]string{
	piernotch.Ready: "in_service", piernotch.Draining: "terminating", piernotch.Gone: "terminated",
}

// EndpointList returns the complete list as JSON, for a balancer's configuration. The balancer counts as having
// received that list.
func (d *Discovery) EndpointList(balancer int) json.RawMessage {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limits[balancer].received = d.generation
	list, _ := d.list(watchCall{balancer: balancer, complete: true})
	return encodeList(list)
}

func encodeList(list listJSON) []byte {
	data, _ := json.Marshal(list) // cannot fail for these types
	return data
}

// list returns the endpoints for which call.wants is true, and the numbers of their servers. The caller holds the lock.
func (d *Discovery) list(call watchCall) (listJSON, []int) {
	list := listJSON{Generation: d.generation, Reset: call.complete, Endpoints: []endpointJSON{}}
	var servers []int
	for number, server := range d.fleet.servers {
		endpoint := d.endpoints[number]
		if endpoint == nil || !call.wants(endpoint) {
			continue
		}
		address := endpoint.address
		if d.ServerAddress != nil {
			address = d.ServerAddress(call.balancer, number, address)
		}
		list.Endpoints = append(list.Endpoints, endpointJSON{
			ServerID:    server.name,
			HostPort:    address,
			Zone:        d.fleet.realization.Zones[server.spec.Zone],
			MachineType: server.spec.Kind.Name,
			Cell:        server.spec.Cell,
			Lifecycle:   lifecycles[endpoint.state],
			Weight:      server.spec.Size,
			StartedAtMs: endpoint.startedUnixMS,
		})
		servers = append(servers, number)
	}
	return list, servers
}

// watchCall is a balancer's request for the endpoint list or its changes.
type watchCall struct {
	balancer int
	since    uint64 // generation that the balancer has
	complete bool   // no generation was given: the complete list is requested
	noWait   bool   // respond at once, even without changes
}

// wants reports whether an endpoint belongs in the response. A complete list omits endpoints that are Gone;
// other responses hold the endpoints that have changed after c.since.
func (c *watchCall) wants(listed *endpoint) bool {
	if c.complete {
		return listed.state != piernotch.Gone
	}
	return listed.generation > c.since
}

// watchResponse is the current response to a call, or what the call must wait for.
type watchResponse struct {
	unavailable bool // an outage is ongoing
	ready       bool // list is the response; otherwise the call waits
	list        listJSON
	servers     []int
	endpoints   []endpoint // of servers, in the same order
	changed     <-chan struct{}
	outage      context.Context
}

// serveWatch responds to a balancer's call: at once if the call requests the complete list or there are changes,
// else after the next change or the requested wait, at most maxWatch. An outage makes the call fail.
func (d *Discovery) serveWatch(writer http.ResponseWriter, request *http.Request, balancer int) {
	d.mu.Lock()
	d.calls++
	d.mu.Unlock()
	query := request.URL.Query()
	since, err := strconv.ParseUint(query.Get("index"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait")) // ms; 0 if missing
	call := watchCall{balancer: balancer, since: since, complete: err != nil, noWait: wait <= 0}
	limit := min(max(wait, 0), int(maxWatch/time.Millisecond))
	deadline := time.NewTimer(time.Duration(limit) * time.Millisecond)
	defer deadline.Stop()
	for {
		response := d.responseNow(call)
		if response.unavailable {
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if response.ready {
			d.writeResponse(writer, request, balancer, response)
			return
		}
		select {
		case <-response.changed:
		case <-deadline.C:
			call.noWait = true
		case <-response.outage.Done():
			panic(http.ErrAbortHandler) // closes the connection without a response
		case <-request.Context().Done():
			return
		}
	}
}

// responseNow returns the current response to a call, or what the call must wait for.
func (d *Discovery) responseNow(call watchCall) watchResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	response := watchResponse{unavailable: d.outages > 0, changed: d.changed, outage: d.outage}
	if response.unavailable {
		return response
	}
	complete := call.complete || call.since > d.generation // call.since is of another incarnation of discovery
	if !complete && d.generation == call.since && !call.noWait {
		return response
	}
	response.ready = true
	call.complete = complete
	response.list, response.servers = d.list(call)
	for _, server := range response.servers {
		response.endpoints = append(response.endpoints, *d.endpoints[server])
	}
	return response
}

// writeResponse writes a response and, if that succeeds, reports its endpoints to EndpointNotified.
func (d *Discovery) writeResponse(
	writer http.ResponseWriter,
	request *http.Request,
	balancer int,
	response watchResponse,
) {
	writer.Header().Set("Content-Type", "application/json")
	_, err := writer.Write(encodeList(response.list))
	if err != nil || d.notified == nil {
		return
	}
	for i, server := range response.servers {
		d.notified(Notification{
			Balancer:   balancer,
			Server:     server,
			State:      response.endpoints[i].state,
			StartedAt:  response.endpoints[i].startedAt,
			Generation: response.list.Generation,
			Connection: request.RemoteAddr,
		})
	}
}
