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

// streamBuffer is the size of each buffer of standard input and output, in bytes.
const streamBuffer = 1 << 16

var errStartedTwice = errors.New("started twice without a stop")

// adapter runs the balancers. It reuses reply, event and entries, so events of a running balancer cause no
// allocations here.
type adapter struct {
	balancers map[simprotocol.BalancerNumber]*piernotch.Balancer // nil: unusable settings
	columns   []string                                           // names of load report values, common to all balancers
	reply     simprotocol.Reply
	event     simprotocol.Event
	entries   []piernotch.Endpoint
}

// serve answers batches until the input ends or an error occurs.
func serve(input io.Reader, output io.Writer) error {
	hosted := adapter{balancers: map[simprotocol.BalancerNumber]*piernotch.Balancer{}}
	reader := simprotocol.NewReader(bufio.NewReaderSize(input, streamBuffer))
	writer := bufio.NewWriterSize(output, streamBuffer)
	for {
		batch, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := hosted.handleBatch(batch); err != nil {
			return err
		}
		if err := hosted.reply.WriteTo(writer, batch.Seq); err != nil {
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
			return fmt.Errorf("batch %d, event %d: balancer %d: %w", batch.Seq, i, a.event.Balancer, err)
		}
	}
	return nil
}

// handle starts or stops the balancer of the current event, or passes the event to the balancer.
func (a *adapter) handle(now time.Duration) error {
	event := &a.event
	balancer, started := a.balancers[event.Balancer]
	if event.Code == simprotocol.EventStart {
		if started {
			return errStartedTwice
		}
		a.start()
		return nil
	}
	if !started {
		return fmt.Errorf("event with code %d before its start", event.Code)
	}
	if event.Code == simprotocol.EventStop {
		delete(a.balancers, event.Balancer)
		return nil
	}
	if balancer == nil { // unusable settings, reported by start
		return nil
	}
	return a.dispatch(balancer, now)
}

// start starts the balancer of the current event. It reports unusable settings as a fault of the balancer.
func (a *adapter) start() {
	event := &a.event
	a.balancers[event.Balancer] = nil
	balancer, err := a.newBalancer()
	if err != nil {
		a.reply.ReportFault(event.Balancer, err.Error())
		return
	}
	a.balancers[event.Balancer] = balancer
}

func (a *adapter) newBalancer() (*piernotch.Balancer, error) {
	event := &a.event
	settings, err := simprotocol.ParseSettings(event.Data)
	if err != nil {
		return nil, err
	}
	if a.columns, err = simprotocol.ParseReportColumns(event.Data); err != nil {
		return nil, err
	}
	return piernotch.New(settings, event.Seed, &host{balancer: event.Balancer, reply: &a.reply})
}

// dispatch passes the current event to a running balancer, after the event's load report, if valid.
// Messages between balancers are ignored.
func (a *adapter) dispatch(balancer *piernotch.Balancer, now time.Duration) error {
	event := &a.event
	if load, ok := simprotocol.ParseLoadReport(event, a.columns); ok {
		balancer.LoadReported(now, event.Server, load)
	}
	switch event.Code {
	case simprotocol.EventRequest:
		balancer.HandleRequest(now, request(event))
	case simprotocol.EventAttemptCompleted:
		status, err := simprotocol.ParseStatus(event.Status)
		if err != nil {
			return err
		}
		balancer.HandleOutcome(now, outcome(event, status))
	case simprotocol.EventTimerFired:
		balancer.Timer(now, event.Token)
	case simprotocol.EventClientGone:
		balancer.ClientDisconnected(now, piernotch.RequestID(event.ID))
	case simprotocol.EventResponseStarted:
		balancer.ResponseStarted(now, piernotch.RequestID(event.ID), int(event.AttemptNumber))
	case simprotocol.EventHealthCheckCompleted:
		status, err := simprotocol.ParseStatus(event.Status)
		if err != nil {
			return err
		}
		balancer.HealthCheckCompleted(now, event.Server, status)
	case simprotocol.EventEndpointList:
		kind, entries, err := simprotocol.ParseEndpointList(event, a.entries[:0])
		if err != nil {
			return err
		}
		a.entries = entries
		balancer.UpdateEndpoints(now, kind, entries)
	}
	return nil
}

func request(event *simprotocol.Event) piernotch.Request {
	hint := event.CostHintMS
	if event.Flags&simprotocol.FlagCostHint == 0 {
		hint = math.NaN()
	}
	return piernotch.Request{
		ID: piernotch.RequestID(event.ID), Class: int(event.Class), Tenant: int(event.Tenant), Key: event.Key,
		Deadline: simprotocol.Duration(event.DeadlineMS), CostHint: hint,
	}
}

func outcome(event *simprotocol.Event, status piernotch.Status) piernotch.Outcome {
	return piernotch.Outcome{
		ID: piernotch.RequestID(event.ID), Attempt: int(event.AttemptNumber), Server: event.Server,
		Status: status, Latency: simprotocol.Duration(event.LatencyMS), RequestDone: event.Closed,
	}
}
