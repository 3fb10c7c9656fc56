package runtime

import (
	"log/slog"
	"math"
	"time"

	"piernotch/internal/serve/config"
	"piernotch/internal/serve/core"
	"piernotch/internal/trafficrecording"
)

// traceRecorder writes clients' requests and their outcomes to a trace. It keeps the record of each
// pending request in memory and never blocks on the disk.
type traceRecorder struct {
	out       *trafficrecording.Writer
	startedAt time.Duration // on the balancer's clock
	pending   map[core.ExchangeID]trafficrecording.Record
}

// newTraceRecorder creates the trace file. It returns nil if none is configured.
func newTraceRecorder(cfg *config.Config, now time.Duration) (*traceRecorder, error) {
	if cfg.Trace.File == "" {
		return nil, nil
	}
	header := trafficrecording.Header{Name: cfg.Name, StartedAt: int64(now)}
	for _, class := range cfg.Settings.Classes {
		header.Classes = append(header.Classes, class.Name)
	}
	if zone := cfg.Settings.Zone; zone < len(cfg.Settings.Zones) {
		header.Zone = cfg.Settings.Zones[zone]
	}
	out, err := trafficrecording.Create(cfg.Trace.File, header, trafficrecording.Limits{Bytes: cfg.Trace.MaxBytes})
	if err != nil {
		return nil, err
	}
	return &traceRecorder{out: out, startedAt: now, pending: map[core.ExchangeID]trafficrecording.Record{}}, nil
}

// eventReceived starts a record when a request is received and completes it if the client disconnects.
// Other events are ignored.
func (r *traceRecorder) eventReceived(now time.Duration, event core.Event) {
	switch event := event.(type) {
	case core.RequestReceived:
		record := trafficrecording.Record{
			At:       now - r.startedAt,
			Class:    uint16(event.Class),
			Key:      event.Key,
			Deadline: event.Deadline - now,
		}
		if event.CostHint > 0 && !math.IsInf(event.CostHint, 0) {
			record.CostHint = event.CostHint
		}
		r.pending[event.Exchange] = record
	case core.ClientDisconnected:
		r.complete(now, event.Exchange, trafficrecording.ClientGone)
	}
}

// responseSent completes the record of a request, or discards the record if the request was not accepted.
func (r *traceRecorder) responseSent(now time.Duration, response core.Respond) {
	switch response.Result {
	case core.Served:
		r.complete(now, response.Exchange, trafficrecording.Served)
	case core.Rejected:
		r.complete(now, response.Exchange, trafficrecording.Rejected)
	case core.Failed:
		r.complete(now, response.Exchange, trafficrecording.Failed)
	default: // DuplicateID: the request was never accepted
		delete(r.pending, response.Exchange)
	}
}

// complete writes the record of a request to the trace, if the request is pending.
func (r *traceRecorder) complete(now time.Duration, exchange core.ExchangeID, outcome trafficrecording.Outcome) {
	record, pending := r.pending[exchange]
	if !pending {
		return
	}
	delete(r.pending, exchange)
	record.Outcome = outcome
	record.Latency = now - r.startedAt - record.At
	r.out.Add(record)
}

// close completes the file and logs how many records were dropped. Pending requests are not written.
func (r *traceRecorder) close() {
	if err := r.out.Close(); err != nil {
		slog.Error("trace recording failed", "err", err)
	}
	if dropped := r.out.Dropped(); dropped > 0 {
		slog.Warn("trace records dropped", "records", dropped)
	}
}
