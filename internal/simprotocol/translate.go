package simprotocol

import (
	"fmt"
	"math"
	"time"

	"piernotch"
)

// StatusCode returns the wire code of a status, or 0 (OK) if the status has none.
func StatusCode(status piernotch.Status) uint8 {
	for code, known := range statusByCode {
		if known == status {
			return code
		}
	}
	return 0
}

// StateCode returns the wire code of a server's state, or 0 (draining) if the state has none.
func StateCode(state piernotch.State) uint8 {
	for code, known := range stateByCode {
		if known == state {
			return uint8(code)
		}
	}
	return 0
}

// ListKindCode returns the wire code of an update kind, or 0 (failed) if the kind has none.
func ListKindCode(kind piernotch.UpdateKind) uint8 {
	for code, known := range listKindByCode {
		if known == kind {
			return uint8(code)
		}
	}
	return 0
}

// ParseLoadReport translates the load report of an attempt or a health check. The columns name the report's
// values in order. ok is false if there is no value named InflightColumn, or if SetLoadValue
// rejects a value.
func ParseLoadReport(event *Event, columns []string) (load piernotch.LoadReport, ok bool) {
	for i, name := range columns[:min(len(columns), event.LoadCount)] {
		if !SetLoadValue(&load, name, event.Load[i]) {
			return piernotch.LoadReport{}, false
		}
		ok = ok || name == InflightColumn
	}
	return load, ok
}

// InflightColumn names the number of requests at the server. Reports without this value are not used.
const InflightColumn = "inflight"

// SetLoadValue sets a value of a load report by name, and ignores unknown names. It reports whether the
// value is valid: not negative, infinite or NaN.
func SetLoadValue(load *piernotch.LoadReport, name string, value float64) bool {
	switch name {
	case InflightColumn:
		load.Inflight = value
	case "qps":
		load.CompletedPerSecond = value
	}
	return value >= 0 && !math.IsInf(value, 0)
}

// Duration converts milliseconds on the wire, rounded to microseconds. NaN yields 0. Values are
// clamped to half the range of time.Duration.
func Duration(milliseconds float64) time.Duration {
	const limit = float64(math.MaxInt64 / int64(time.Millisecond) / 2)
	if math.IsNaN(milliseconds) {
		return 0
	}
	milliseconds = min(max(milliseconds, -limit), limit)
	return time.Duration(math.Round(milliseconds*1000)) * time.Microsecond
}

// Milliseconds converts a duration for the wire, and truncates it to microseconds.
func Milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// statusByCode maps the dispositions on the wire, which are not contiguous, to statuses.
var statusByCode = map[uint8]piernotch.Status{
	0: piernotch.OK, 13: piernotch.Error, 8: piernotch.Full, 4: piernotch.Timeout,
	14: piernotch.ConnectFailed, 10: piernotch.Reset, 1: piernotch.Cancelled, 9: piernotch.NotSent,
}

// ParseStatus translates a disposition on the wire. It returns an error if the code is unknown.
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

// ParseEndpointList translates the kind of an endpoint list, and appends the translated entries to into.
// With an error, it returns the entries before the malformed one.
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
