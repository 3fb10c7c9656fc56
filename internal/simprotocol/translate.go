package simprotocol

import (
	"fmt"
	"math"
	"time"

	"piernotch"
)

// StatusCode returns the wire's code of a status; 0 for one that the wire does not know.
func StatusCode(status piernotch.Status) uint8 {
	for code, known := range statusByCode {
		if known == status {
			return code
		}
	}
	return 0
}

// StateCode returns the wire's code of a server's state.
func StateCode(state piernotch.State) uint8 {
	for code, known := range stateByCode {
		if known == state {
			return uint8(code)
		}
	}
	return 0
}

// ListKindCode returns the wire's code of a kind of list.
func ListKindCode(kind piernotch.UpdateKind) uint8 {
	for code, known := range listKindByCode {
		if known == kind {
			return uint8(code)
		}
	}
	return 0
}

// ParseLoadReport translates the load report of an attempt or a health check. The columns name its
// values in order; ok is false if there is no report, or if a value is impossible.
func ParseLoadReport(event *Event, columns []string) (load piernotch.LoadReport, ok bool) {
	for i, name := range columns[:min(len(columns), event.LoadCount)] {
		if !SetLoadValue(&load, name, event.Load[i]) {
			return piernotch.LoadReport{}, false
		}
		ok = ok || name == InflightColumn
	}
	return load, ok
}

// InflightColumn names the value without which a load report is of no use: requests at the server.
const InflightColumn = "inflight"

// SetLoadValue sets one named value of a load report; unknown names are ignored. It reports whether the
// value is possible: neither negative nor infinite nor NaN.
func SetLoadValue(load *piernotch.LoadReport, name string, value float64) bool {
	switch name {
	case InflightColumn:
		load.Inflight = value
	case "qps":
		load.CompletedPerSecond = value
	}
	return value >= 0 && !math.IsInf(value, 0)
}

// Duration converts the wire's milliseconds, rounded to the microsecond that the wire counts in. NaN
// is 0, and what exceeds a Duration is cut to half of its range.
func Duration(milliseconds float64) time.Duration {
	const limit = float64(math.MaxInt64 / int64(time.Millisecond) / 2)
	if math.IsNaN(milliseconds) {
		return 0
	}
	milliseconds = min(max(milliseconds, -limit), limit)
	return time.Duration(math.Round(milliseconds*1000)) * time.Microsecond
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
	status, ok := statusByCode[code]
	if !ok {
		return 0, fmt.Errorf("unknown disposition %d", code)
	}
	return status, nil
}

var stateByCode = [...]piernotch.State{0: piernotch.Draining, 1: piernotch.Gone, 2: piernotch.Ready}

var listKindByCode = [...]piernotch.UpdateKind{
	0: piernotch.UpdateFailed, 1: piernotch.UpdateCached, 2: piernotch.UpdateFull, 3: piernotch.UpdateDelta,
}

// ParseEndpointList translates the kind and the entries of an endpoint list, appending to into. The
// entries before a malformed one are returned with the error.
func ParseEndpointList(event *Event, into []piernotch.Endpoint) (piernotch.UpdateKind, []piernotch.Endpoint, error) {
	if int(event.ListKind) >= len(listKindByCode) {
		return 0, into, fmt.Errorf("unknown list kind %d", event.ListKind)
	}
	for i := range event.EntryCount() {
		entry := event.Entry(i)
		if int(entry.State) >= len(stateByCode) {
			return 0, into, fmt.Errorf("entry %d: unknown state %d", i, entry.State)
		}
		into = append(into, piernotch.Endpoint{
			ID: entry.Server, Zone: int(entry.Zone), Cell: int(entry.Cell),
			State: stateByCode[entry.State], Size: entry.Size, StartedAt: Duration(entry.StartedAtMS),
		})
	}
	return listKindByCode[event.ListKind], into, nil
}
