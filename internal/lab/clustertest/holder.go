package clustertest

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"piernotch/internal/controlgroup"
	"piernotch/internal/controlgroup/client"
	"piernotch/internal/controlgroup/lease"
	"piernotch/internal/controlgroup/protocol"
)

const (
	actInterval    = 20 * time.Millisecond
	releaseTimeout = 500 * time.Millisecond // for releasing the duties at the end
)

// RunHolder is the program of a holder: it acquires the duties of a group's file and acts under those that it
// holds, until ctx is done. harness is the TCP address that it reports to.
func RunHolder(ctx context.Context, file, harness string) error {
	cfg, err := controlgroup.LoadFile(file)
	if err != nil {
		return err
	}
	conn, err := net.Dial("tcp", harness)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	reports := &reporter{name: cfg.Self, encoder: json.NewEncoder(conn)}
	// The end of ctx does not end the member: it has still to release its duties, in Close.
	member := client.StartContext(context.WithoutCancel(ctx), cfg, reports.observe)
	ticker := time.NewTicker(actInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			member.Close(releaseTimeout)
			return nil
		case <-ticker.C:
		}
		for _, duty := range cfg.Duties {
			checkedAt := time.Now().UnixNano()
			if token, held := member.Token(lease.Duty(duty)); held {
				reports.send(report{Act: &act{Duty: lease.Duty(duty), Token: token, CheckedAt: checkedAt}})
			}
		}
	}
}

// reporter sends reports to the harness. Its methods may be called from any goroutine.
type reporter struct {
	name    string
	mu      sync.Mutex
	encoder *json.Encoder
}

func (r *reporter) send(line report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line.Name = r.name
	_ = r.encoder.Encode(line) // fails when the harness has ended, which then needs no reports
}

// observe reports the requests that got a final response; it is a client.RequestObserver.
func (r *reporter) observe(record client.RequestRecord) {
	if record.Err != nil || !protocol.IsFinal(record.Response.Err) {
		return
	}
	completed := &call{
		Kind:       record.Request.Kind,
		Command:    record.Request.Command,
		SentAt:     record.SentAt.UnixNano(),
		ReceivedAt: record.ReceivedAt.UnixNano(),
		Grant:      record.Response.Grant,
	}
	if record.Response.Err != nil {
		completed.Err = record.Response.Err.Error()
	}
	r.send(report{Call: completed})
}
