package simprotocol

import (
	"fmt"
	"math"
	"time"

	"piernotch"
)

// StatusCode returns the wire's code of a status; 0 for one that the wire does not know.
func StatusCode(s piernotch.Status) uint8 {
	for code, status := range statusByCode {
		if status == s {
			return code
		}
	}
	return 0
}

// StateCode returns the wire's code of a server's state.
func StateCode(s piernotch.State) uint8 {
	for code, state := range stateByCode {
		if state == s {
			return uint8(code)
		}
	}
	return 0
}

// ListKindCode returns the wire's code of a kind of list.
func ListKindCode(k piernotch.UpdateKind) uint8 {
	for code, kind := range listKindByCode {
		if kind == k {
			return uint8(code)
		}
	}
	return 0
}

// ParseLoadReport translates the load report of an attempt or a health check. The columns name its
// values in order; ok is false if there is no report, or if a value is impossible.
func ParseLoadReport(e *Event, columns []string) (load piernotch.LoadReport, ok bool) {
	for i, name := range columns[:min(len(columns), e.LoadCount)] {
		if !SetLoadValue(&load, name, e.Load[i]) {
			return piernotch.LoadReport{}, false
		}
		ok = ok || name == InflightColumn
	}
	return load, ok
}

// InflightColumn names the value without which a load report is of no use: requests held.
const InflightColumn = "inflight"

// SetLoadValue sets one named value of a load report; unknown names are ignored. It reports whether the
// value is possible: neither negative nor infinite nor NaN.
func SetLoadValue(load *piernotch.LoadReport, name string, v float64) bool {
	switch name {
	case InflightColumn:
		load.Inflight = v
	case "qps":
		load.CompletedPerSecond = v
	}
	return v >= 0 && !math.IsInf(v, 0)
}

// Duration converts the wire's milliseconds, rounded to the microsecond that the wire counts in. NaN
// is 0, and what exceeds a Duration is cut to half of its range.
func Duration(ms float64) time.Duration {
	const limit = float64(math.MaxInt64 / int64(time.Millisecond) / 2)
	if math.IsNaN(ms) {
		return 0
	}
	ms = min(max(ms, -limit), limit)
	return time.Duration(math.Round(ms*1000)) * time.Microsecond
}

// Milliseconds is the reverse of Duration; what is below a microsecond is cut off.
func Milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// statusByCode maps the wire's dispositions, which are not contiguous.
var statusByCode = map[uint8]piernotch.Status{
	0: piernotch.OK, 13: piernotch.Error, 8: piernotch.Full, 4: piernotch.Timeout,
	14: piernotch.ConnectFailed, 10: piernotch.Reset, 1: piernotch.Cancelled, 9: piernotch.NotSent,
}

// ParseStatus translates the wire's disposition. It returns an error for an unknown one.
func ParseStatus(code uint8) (piernotch.Status, error) {
	s, ok := statusByCode[code]
	if !ok {
		return 0, fmt.Errorf("unknown disposition %d", code)
	}
	return s, nil
}

var stateByCode = [...]piernotch.State{0: piernotch.Draining, 1: piernotch.Gone, 2: piernotch.Ready}

var listKindByCode = [...]piernotch.UpdateKind{
	0: piernotch.UpdateFailed, 1: piernotch.UpdateCached, 2: piernotch.UpdateFull, 3: piernotch.UpdateDelta,
}

// ParseEndpointList translates the kind and the entries of an endpoint list, appending to into. The
// entries before a malformed one are returned with the error.
func ParseEndpointList(e *Event, into []piernotch.Endpoint) (piernotch.UpdateKind, []piernotch.Endpoint, error) {
	if int(e.ListKind) >= len(listKindByCode) {
		return 0, into, fmt.Errorf("unknown list kind %d", e.ListKind)
	}
	for i := range e.EntryCount() {
		l := e.Entry(i)
		if int(l.State) >= len(stateByCode) {
			return 0, into, fmt.Errorf("entry %d: unknown state %d", i, l.State)
		}
		into = append(into, piernotch.Endpoint{
			ID: piernotch.ServerID(l.Server), Zone: int(l.Zone), Cell: int(l.Cell),
			State: stateByCode[l.State], Size: l.Size, StartedAt: Duration(l.StartedAtMS),
		})
	}
	return listKindByCode[e.ListKind], into, nil
}
