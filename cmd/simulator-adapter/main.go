// Command adapter hosts many balancers over standard input and output. It
// translates between the simulator's wire and the piernotch package and decides
// nothing.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"time"

	"piernotch"
	"piernotch/internal/wire"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// serve answers batches until the input ends.
func serve(in io.Reader, out io.Writer) error {
	a := adapter{instances: map[uint32]*piernotch.Balancer{}}
	r := wire.NewReader(bufio.NewReaderSize(in, 1<<16))
	w := bufio.NewWriterSize(out, 1<<16)
	for {
		batch, err := r.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		for i := range batch.Count {
			if err := batch.Event(i, &a.event); err != nil {
				return err
			}
			if err := a.handle(wire.Duration(batch.ClockMS)); err != nil {
				return fmt.Errorf("batch %d, event %d: instance %d: %w", batch.Seq, i, a.event.Instance, err)
			}
		}
		if err := a.reply.WriteTo(w, batch.Seq); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

type adapter struct {
	instances map[uint32]*piernotch.Balancer
	columns   []string // of load reports; the same for all instances
	reply     wire.Reply
	event     wire.Event
	entries   []piernotch.Endpoint
}

// handle passes the current event to its instance.
func (a *adapter) handle(now time.Duration) error {
	e := &a.event
	b, ok := a.instances[e.Instance]
	if e.Code == wire.EventStart {
		if ok {
			return errors.New("started twice without a stop")
		}
		a.start()
		return nil
	}
	if !ok {
		return fmt.Errorf("event with code %d before its start", e.Code)
	}
	if e.Code == wire.EventStop {
		delete(a.instances, e.Instance)
		return nil
	}
	if b == nil { // its settings could not be used, which has been reported
		return nil
	}
	return a.dispatch(b, now)
}

func (a *adapter) start() {
	e := &a.event
	a.instances[e.Instance] = nil
	settings, err := wire.Settings(e.Data)
	if err != nil {
		a.reply.ReportFault(e.Instance, err.Error())
		return
	}
	if a.columns, err = wire.ParseReportColumns(e.Data); err != nil {
		a.reply.ReportFault(e.Instance, err.Error())
		return
	}
	b, err := piernotch.New(settings, e.Seed, &host{inst: e.Instance, reply: &a.reply})
	if err != nil {
		a.reply.ReportFault(e.Instance, err.Error())
		return
	}
	a.instances[e.Instance] = b
}

func (a *adapter) dispatch(b *piernotch.Balancer, now time.Duration) error {
	e := &a.event
	if load, ok := wire.ParseLoadReport(e, a.columns); ok {
		b.LoadReported(now, piernotch.BackendID(e.Backend), load)
	}
	switch e.Code {
	case wire.EventRequest:
		b.HandleRequest(now, demand(e))
	case wire.EventAttemptCompleted:
		status, err := wire.ParseStatus(e.Status)
		if err != nil {
			return err
		}
		b.HandleOutcome(now, piernotch.Outcome{
			ID: piernotch.RequestID(e.ID), Attempt: int(e.Attempt), Backend: piernotch.BackendID(e.Backend),
			Status: status, Latency: wire.Duration(e.LatencyMS), Closed: e.Closed,
		})
	case wire.EventTimerFired:
		b.Timer(now, e.Token)
	case wire.EventClientGone:
		b.ClientGone(now, piernotch.RequestID(e.ID))
	case wire.EventResponseStarted:
		b.ResponseStarted(now, piernotch.RequestID(e.ID), int(e.Attempt))
	case wire.EventHealthCheckCompleted:
		status, err := wire.ParseStatus(e.Status)
		if err != nil {
			return err
		}
		b.HealthCheckCompleted(now, piernotch.BackendID(e.Backend), status)
	case wire.EventEndpointList:
		kind, entries, err := wire.ParseEndpointList(e, a.entries[:0])
		if err != nil {
			return err
		}
		a.entries = entries
		b.UpdateEndpoints(now, kind, entries)
	}
	return nil
}

func demand(e *wire.Event) piernotch.Request {
	hint := e.CostHintMS
	if e.Flags&wire.FlagCostHint == 0 {
		hint = math.NaN()
	}
	return piernotch.Request{
		ID: piernotch.RequestID(e.ID), Class: int(e.Class), Tenant: int(e.Tenant), Key: e.Key,
		Deadline: wire.Duration(e.DeadlineMS), CostHint: hint,
	}
}

// host writes one instance's actions to the reply.
type host struct {
	inst  uint32
	reply *wire.Reply
}

func (h *host) StartAttempt(id piernotch.RequestID, to piernotch.BackendID, timeout time.Duration) {
	h.reply.StartAttempt(h.inst, uint64(id), uint32(to), wire.Milliseconds(timeout))
}

func (h *host) CancelAttempt(id piernotch.RequestID, attempt int) {
	h.reply.CancelAttempt(h.inst, uint64(id), uint8(attempt))
}

func (h *host) Reject(id piernotch.RequestID, retryAfter time.Duration) {
	h.reply.Reject(h.inst, uint64(id), wire.Milliseconds(retryAfter))
}

func (h *host) Fail(id piernotch.RequestID)        { h.reply.Fail(h.inst, uint64(id)) }
func (h *host) HealthCheck(b piernotch.BackendID)  { h.reply.HealthCheck(h.inst, uint32(b)) }
func (h *host) WatchEndpoints()                    { h.reply.WatchEndpoints(h.inst, true) }
func (h *host) SetTimer(d time.Duration, t uint32) { h.reply.SetTimer(h.inst, wire.Milliseconds(d), t) }
