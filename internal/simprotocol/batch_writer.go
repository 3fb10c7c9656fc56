package simprotocol

import (
	"io"
	"math"

	"piernotch"
)

// BatchWriter collects the events of one batch on the simulator's side. Each method but WriteTo appends one
// record. The zero value is an empty batch. A BatchWriter must not be used concurrently.
type BatchWriter struct {
	count   int
	records []byte
	tail    []byte
	head    [batchHeaderSize]byte
}

// record appends and returns a zeroed record with code and balancer set, valid until the next call.
func (b *BatchWriter) record(code EventCode, balancer BalancerNumber) []byte {
	end := len(b.records)
	b.records = append(b.records, make([]byte, eventSize)...)
	record := b.records[end:]
	record[0] = byte(code)
	put32(record[1:], uint32(balancer))
	b.count++
	return record
}

// Start adds the start of a balancer's process, with settings from MarshalSettings.
func (b *BatchWriter) Start(balancer BalancerNumber, seed uint64, settings []byte) {
	record := b.record(EventStart, balancer)
	put64(record[5:], seed)
	put32(record[13:], uint32(len(b.tail)))
	put32(record[17:], uint32(len(settings)))
	b.tail = append(b.tail, settings...)
}

// Stop adds the end of a balancer's process.
func (b *BatchWriter) Stop(balancer BalancerNumber) { b.record(EventStop, balancer) }

// TimerFired adds the expiry of the timer that was set with the token.
func (b *BatchWriter) TimerFired(balancer BalancerNumber, token uint32) {
	put32(b.record(EventTimerFired, balancer)[5:], token)
}

// ClientGone adds the disconnection of a request's client.
func (b *BatchWriter) ClientGone(balancer BalancerNumber, id uint64) {
	put64(b.record(EventClientGone, balancer)[5:], id)
}

// RequestEvent is a client's request that a balancer has received.
type RequestEvent struct {
	ID         uint64
	Class      uint8
	Tenant     uint16
	Key        uint64  // for key affinity; 0: none
	DeadlineMS float64 // time on the simulator's clock
	CostHintMS float64 // ms of work; written only if Flags contains FlagCostHint
	Flags      uint8   // FlagCostHint, FlagRetry, FlagWrite
}

// Request adds the arrival of a request.
func (b *BatchWriter) Request(balancer BalancerNumber, request *RequestEvent) {
	record := b.record(EventRequest, balancer)
	put64(record[5:], request.ID)
	record[13] = request.Class
	put16(record[14:], request.Tenant)
	put64(record[16:], request.Key)
	putF64(record[24:], request.DeadlineMS)
	if request.Flags&FlagCostHint != 0 {
		putF64(record[32:], request.CostHintMS)
	}
	record[40] = request.Flags
}

// AttemptEvent describes how an attempt ended.
type AttemptEvent struct {
	ID            uint64 // of the request
	AttemptNumber uint8
	Server        piernotch.ServerID
	Status        uint8 // from StatusCode
	LatencyMS     float64
	Closed        bool      // the request has its final response
	Load          []float32 // load report, at most four values; empty: none
}

// AttemptCompleted adds the end of an attempt.
func (b *BatchWriter) AttemptCompleted(balancer BalancerNumber, attempt *AttemptEvent) {
	record := b.record(EventAttemptCompleted, balancer)
	put64(record[5:], attempt.ID)
	record[13] = attempt.AttemptNumber
	put32(record[14:], uint32(attempt.Server))
	record[18] = attempt.Status
	putF64(record[19:], attempt.LatencyMS)
	if attempt.Closed {
		record[27] = 1
	}
	putLoad(record[28:], attempt.Load)
}

// HealthCheckEvent describes the result of a health check.
type HealthCheckEvent struct {
	Server    piernotch.ServerID
	Status    uint8 // from StatusCode
	LatencyMS float64
	Load      []float32 // as in AttemptEvent
}

// HealthCheckCompleted adds the result of a health check.
func (b *BatchWriter) HealthCheckCompleted(balancer BalancerNumber, check *HealthCheckEvent) {
	record := b.record(EventHealthCheckCompleted, balancer)
	put32(record[5:], uint32(check.Server))
	record[9] = check.Status
	putF64(record[10:], check.LatencyMS)
	putLoad(record[18:], check.Load)
}

// putLoad writes the number of values, then the values as 32-bit floats.
func putLoad(data []byte, load []float32) {
	data[0] = byte(len(load))
	for i, value := range load {
		put32(data[1+4*i:], math.Float32bits(value))
	}
}

// EndpointList adds an endpoint list. The kind is a code from ListKindCode.
func (b *BatchWriter) EndpointList(balancer BalancerNumber, kind uint8, version uint64, entries []EndpointEntry) {
	record := b.record(EventEndpointList, balancer)
	record[5] = kind
	put64(record[6:], version)
	put32(record[14:], uint32(len(b.tail)))
	put32(record[18:], uint32(len(entries)))
	for _, entry := range entries {
		var data [entrySize]byte
		put32(data[:], uint32(entry.Server))
		data[4], data[5], data[8] = entry.Zone, entry.Kind, entry.State
		put16(data[6:], entry.Cell)
		put32(data[9:], math.Float32bits(float32(entry.Size)))
		putF64(data[13:], entry.StartedAtMS)
		b.tail = append(b.tail, data[:]...)
	}
}

// WriteTo writes the batch with its clock and number, and empties the batch unless output returns an error.
func (b *BatchWriter) WriteTo(output io.Writer, clockMS float64, seq uint32) error {
	put32(b.head[:], uint32(b.count))
	put32(b.head[4:], uint32(batchHeaderSize+len(b.records)+len(b.tail)))
	putF64(b.head[8:], clockMS)
	put32(b.head[16:], seq)
	for _, part := range [][]byte{b.head[:], b.records, b.tail} {
		if _, err := output.Write(part); err != nil {
			return err
		}
	}
	b.count, b.records, b.tail = 0, b.records[:0], b.tail[:0]
	return nil
}
