package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"slices"
	"time"

	"piernotch"
	"piernotch/internal/serve/core"
)

// EndpointList is the complete list of servers, or a change of it.
type EndpointList struct {
	Generation uint64
	Reset      bool // the list is complete: what it does not name is gone
	Endpoints  []core.DiscoveredEndpoint
}

// ListError is an endpoint list that cannot be used.
type ListError struct {
	Field string // path of the invalid JSON field; "": the list itself is invalid
	Err   error
}

// Error implements error.
func (e *ListError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("list: %v", e.Err)
	}
	return fmt.Sprintf("list: %s %v", e.Field, e.Err)
}

// Unwrap returns the cause.
func (e *ListError) Unwrap() error { return e.Err }

var (
	errNoGeneration = errors.New("no generation")
	errMissing      = errors.New("is missing")
)

// listJSON is an endpoint list on the wire.
type listJSON struct {
	Generation *uint64        `json:"generation"`
	Reset      bool           `json:"reset"`
	Endpoints  []endpointJSON `json:"instances"`
}

// endpointJSON is the entry of a server in the endpoint list, on the wire.
type endpointJSON struct {
	Name        string  `json:"instanceId"`
	Address     string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs float64 `json:"startedAtMs"`
}

// states are the endpoint states by their name on the wire.
var states = map[string]piernotch.State{
	"in_service":  piernotch.Ready,
	"terminating": piernotch.Draining,
	"terminated":  piernotch.Gone,
}

// Parse parses an endpoint list. An endpoint's zone becomes its index in zones,
// -1 for one that is not among them. Errors are of type *ListError.
func Parse(data []byte, zones []string) (EndpointList, error) {
	var decoded listJSON
	if err := json.Unmarshal(data, &decoded); err != nil {
		return EndpointList{}, &ListError{Err: err}
	}
	if decoded.Generation == nil {
		return EndpointList{}, &ListError{Err: errNoGeneration}
	}
	list := EndpointList{Generation: *decoded.Generation, Reset: decoded.Reset}
	for index := range decoded.Endpoints {
		endpoint, err := parseEndpoint(index, &decoded.Endpoints[index], zones)
		if err != nil {
			return EndpointList{}, err
		}
		list.Endpoints = append(list.Endpoints, endpoint)
	}
	return list, nil
}

// parseEndpoint converts the entry at an index of the list.
func parseEndpoint(index int, entry *endpointJSON, zones []string) (core.DiscoveredEndpoint, error) {
	state, known := states[entry.Lifecycle]
	if !known {
		return core.DiscoveredEndpoint{}, endpointError(index, "lifecycle", fmt.Errorf("is %q", entry.Lifecycle))
	}
	if entry.Name == "" {
		return core.DiscoveredEndpoint{}, endpointError(index, "instanceId", errMissing)
	}
	// Nothing is sent to a server that is gone, so its address is not needed.
	if state != piernotch.Gone && !validAddress(entry.Address) {
		return core.DiscoveredEndpoint{}, endpointError(index, "hostPort", fmt.Errorf("is %q", entry.Address))
	}
	return core.DiscoveredEndpoint{
		Name:    entry.Name,
		Address: entry.Address,
		Endpoint: piernotch.Endpoint{
			Zone:      slices.Index(zones, entry.Zone),
			Cell:      entry.Cell,
			State:     state,
			Size:      entry.Weight,
			StartedAt: time.Duration(entry.StartedAtMs * float64(time.Millisecond)),
		},
	}, nil
}

// endpointError is an error in a field of the entry at an index, named as on the wire.
func endpointError(index int, field string, err error) *ListError {
	return &ListError{Field: fmt.Sprintf("instances[%d].%s", index, field), Err: err}
}

// validAddress reports whether an address is an IP address with a port. Names are
// not resolved.
func validAddress(address string) bool {
	host, _, err := net.SplitHostPort(address)
	return err == nil && net.ParseIP(host) != nil
}
