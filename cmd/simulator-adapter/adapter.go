package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"piernotch"
	"piernotch/internal/simprotocol"
)

// streamBuffer is the size of the buffers on standard input and output, in bytes.
const streamBuffer = 1 << 16

var errStartedTwice = errors.New("started twice without a stop")

// adapter hosts instances. What it decodes into is reused from event to event, so that a running
// instance's events allocate nothing here.
type adapter struct {
	balancers map[uint32]*piernotch.Balancer // nil for one whose settings could not be used
	columns   []string                       // of load reports; the same for all instances
	reply     simprotocol.Reply
	event     simprotocol.Event
	entries   []piernotch.Endpoint
}

// serve answers batches until the input ends.
func serve(in io.Reader, out io.Writer) error {
	a := adapter{balancers: map[uint32]*piernotch.Balancer{}}
	reader := simprotocol.NewReader(bufio.NewReaderSize(in, streamBuffer))
	writer := bufio.NewWriterSize(out, streamBuffer)
	for {
		batch, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := a.handleBatch(batch); err != nil {
			return err
		}
		if err := a.reply.WriteTo(writer, batch.Seq); err != nil {
			return err
		}
		if err := writer.Flush(); err != nil {
			return err
		}
	}
}

func (a *adapter) handleBatch(batch *simprotocol.Batch) error {
	for i := range batch.Count {
		if err := batch.Event(i, &a.event); err != nil {
			return err
		}
		if err := a.handle(simprotocol.Duration(batch.ClockMS)); err != nil {
			return fmt.Errorf("batch %d, event %d: instance %d: %w", batch.Seq, i, a.event.Balancer, err)
		}
	}
	return nil
}

// handle passes the current event to its instance.
func (a *adapter) handle(now time.Duration) error {
	e := &a.event
	balancer, started := a.balancers[e.Balancer]
	if e.Code == simprotocol.EventStart {
		if started {
			return errStartedTwice
		}
		a.start()
		return nil
	}
	if !started {
		return fmt.Errorf("event with code %d before its start", e.Code)
	}
	if e.Code == simprotocol.EventStop {
		delete(a.balancers, e.Balancer)
		return nil
	}
	if balancer == nil { // its settings could not be used, which has been reported
		return nil
	}
	return a.dispatch(balancer, now)
}

// start begins an instance. Settings that cannot be used are reported as a fault of the instance.
func (a *adapter) start() {
	e := &a.event
	a.balancers[e.Balancer] = nil
	balancer, err := a.newBalancer()
	if err != nil {
		a.reply.ReportFault(e.Balancer, err.Error())
		return
	}
	a.balancers[e.Balancer] = balancer
}

func (a *adapter) newBalancer() (*piernotch.Balancer, error) {
	e := &a.event
	settings, err := simprotocol.ParseSettings(e.Data)
	if err != nil {
		return nil, err
	}
	if a.columns, err = simprotocol.ParseReportColumns(e.Data); err != nil {
		return nil, err
	}
	return piernotch.New(settings, e.Seed, &host{balancer: e.Balancer, reply: &a.reply})
}

// dispatch calls the method of a running balancer that the current event stands for.
func (a *adapter) dispatch(b *piernotch.Balancer, now time.Duration) error {
	e := &a.event
	if load, ok := simprotocol.ParseLoadReport(e, a.columns); ok {
		b.LoadReported(now, piernotch.ServerID(e.Server), load)
	}
	switch e.Code {
	case simprotocol.EventRequest:
		b.HandleRequest(now, request(e))
	case simprotocol.EventAttemptCompleted:
		status, err := simprotocol.ParseStatus(e.Status)
		if err != nil {
			return err
		}
		b.HandleOutcome(now, outcome(e, status))
	case simprotocol.EventTimerFired:
		b.Timer(now, e.Token)
	case simprotocol.EventClientGone:
		b.ClientDisconnected(now, piernotch.RequestID(e.ID))
	case simprotocol.EventResponseStarted:
		b.ResponseStarted(now, piernotch.RequestID(e.ID), int(e.Attempt))
	case simprotocol.EventHealthCheckCompleted:
		status, err := simprotocol.ParseStatus(e.Status)
		if err != nil {
			return err
		}
		b.HealthCheckCompleted(now, piernotch.ServerID(e.Server), status)
	case simprotocol.EventEndpointList:
		kind, entries, err := simprotocol.ParseEndpointList(e, a.entries[:0])
		if err != nil {
			return err
		}
		a.entries = entries
		b.UpdateEndpoints(now, kind, entries)
	}
	return nil
}

func request(e *simprotocol.Event) piernotch.Request {
	hint := e.CostHintMS
	if e.Flags&simprotocol.FlagCostHint == 0 {
		hint = math.NaN()
	}
	return piernotch.Request{
		ID: piernotch.RequestID(e.ID), Class: int(e.Class), Tenant: int(e.Tenant), Key: e.Key,
		Deadline: simprotocol.Duration(e.DeadlineMS), CostHint: hint,
	}
}

func outcome(e *simprotocol.Event, status piernotch.Status) piernotch.Outcome {
	return piernotch.Outcome{
		ID: piernotch.RequestID(e.ID), Attempt: int(e.Attempt), Server: piernotch.ServerID(e.Server),
		Status: status, Latency: simprotocol.Duration(e.LatencyMS), Closed: e.Closed,
	}
}
