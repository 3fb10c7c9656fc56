package runtime

import (
	"log/slog"
	"math"
	"time"

	"piernotch/internal/serve/config"
	"piernotch/internal/serve/core"
	"piernotch/internal/trace"
)

// recorder writes clients' requests and how they ended to a recording. It holds a
// record for each request that is owed an answer, and never waits for the disk.
type recorder struct {
	out  *trace.Writer
	from time.Duration
	open map[core.ExchangeID]trace.Record
}

func newRecorder(cfg *config.Config, now time.Duration) (*recorder, error) {
	if cfg.Trace.File == "" {
		return nil, nil
	}
	h := trace.Header{Name: cfg.Name, StartedAt: int64(now)}
	for _, c := range cfg.Settings.Classes {
		h.Classes = append(h.Classes, c.Name)
	}
	if z := cfg.Settings.Zone; z < len(cfg.Settings.Zones) {
		h.Zone = cfg.Settings.Zones[z]
	}
	out, err := trace.Create(cfg.Trace.File, h, trace.Limits{Bytes: cfg.Trace.MaxBytes})
	if err != nil {
		return nil, err
	}
	return &recorder{out: out, from: now, open: map[core.ExchangeID]trace.Record{}}, nil
}

// hear notes what a client asked, or that it left.
func (r *recorder) hear(now time.Duration, ev core.Event) {
	switch ev := ev.(type) {
	case core.RequestReceived:
		rec := trace.Record{At: now - r.from, Class: uint16(ev.Class), Key: ev.Key, Deadline: ev.Deadline - now}
		if ev.Hint > 0 && !math.IsInf(ev.Hint, 0) {
			rec.CostHint = ev.Hint
		}
		r.open[ev.Client] = rec
	case core.ClientGone:
		r.end(now, ev.Client, trace.ClientGone)
	}
}

// answer notes a final answer.
func (r *recorder) answer(now time.Duration, reply core.Respond) {
	switch reply.Result {
	case core.Served:
		r.end(now, reply.Client, trace.Served)
	case core.Rejected:
		r.end(now, reply.Client, trace.Rejected)
	case core.Failed:
		r.end(now, reply.Client, trace.Failed)
	default: // it was never taken
		delete(r.open, reply.Client)
	}
}

func (r *recorder) end(now time.Duration, c core.ExchangeID, how trace.Outcome) {
	rec, ok := r.open[c]
	if !ok {
		return
	}
	delete(r.open, c)
	rec.Outcome, rec.Latency = how, now-r.from-rec.At
	r.out.Add(rec)
}

func (r *recorder) close() {
	if err := r.out.Close(); err != nil {
		slog.Error("trace recording failed", "err", err)
	}
	if n := r.out.Dropped(); n > 0 {
		slog.Warn("trace records dropped", "records", n)
	}
}
