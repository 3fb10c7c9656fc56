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

// EndpointList is the complete list of servers, or a change to it.
type EndpointList struct {
	Generation uint64
	Reset      bool // the list is complete: servers that it does not name are gone
	Endpoints  []core.DiscoveredEndpoint
}

// ListError reports an endpoint list that cannot be used.
type ListError struct {
	Field string // path of the invalid JSON field; "": the list as a whole is invalid
	Err   error
}

// Error returns "list:", the field unless it is empty, and the cause.
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

// listJSON is the wire format of an endpoint list.
type listJSON struct {
	Generation *uint64        `json:"generation"`
	Reset      bool           `json:"reset"`
	Endpoints  []endpointJSON `json:"instances"`
}

// endpointJSON is the wire format of a server's entry in an endpoint list.
type endpointJSON struct {
	Name        string  `json:"instanceId"`
	Address     string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs float64 `json:"startedAtMs"`
}

// states maps the lifecycle names on the wire to endpoint states.
var states = map[string]piernotch.State{
	"in_service":  piernotch.Ready,
	"terminating": piernotch.Draining,
	"terminated":  piernotch.Gone,
}

// Parse parses an endpoint list. The zone of an endpoint becomes its index in zones, or -1 if zones
// does not contain it. Errors are of type *ListError.
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

// parseEndpoint converts the list entry at an index.
func parseEndpoint(index int, entry *endpointJSON, zones []string) (core.DiscoveredEndpoint, error) {
	state, known := states[entry.Lifecycle]
	if !known {
		return core.DiscoveredEndpoint{}, endpointError(index, "lifecycle", fmt.Errorf("is %q", entry.Lifecycle))
	}
	if entry.Name == "" {
		return core.DiscoveredEndpoint{}, endpointError(index, "instanceId", errMissing)
	}
	// Requests are not sent to a server that is gone, so its address is not needed.
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

// endpointError returns an error about a field of the list entry at an index. field is the name on
// the wire.
func endpointError(index int, field string, err error) *ListError {
	return &ListError{Field: fmt.Sprintf("instances[%d].%s", index, field), Err: err}
}

// validAddress reports whether an address is an IP address with a port. Host names are not resolved
// and therefore invalid.
func validAddress(address string) bool {
	host, _, err := net.SplitHostPort(address)
	return err == nil && net.ParseIP(host) != nil
}
