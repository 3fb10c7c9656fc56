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
	actInterval    = 20 * time.Millisecond  // between checks of each lease
	releaseTimeout = 500 * time.Millisecond // for releasing the duties at the end
)

// RunHolder is the program of a holder: until ctx is done, it acquires the duties that the group's configuration file
// names, and acts under those that it holds. harness is the TCP address for its reports.
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
	// The member must outlive ctx: Close releases the duties when ctx is already done.
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
	_ = r.encoder.Encode(line) // an error means that the harness has ended and needs no reports
}

// observe is a client.RequestObserver that reports the requests with a final response.
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
