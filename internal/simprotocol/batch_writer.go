package simprotocol

import (
	"io"
	"math"
)

// BatchWriter collects the events of one batch on the simulator's side. Its methods add one record
// each, in the order of the calls. The zero value is empty and ready. It is for one goroutine.
type BatchWriter struct {
	count   int
	records []byte
	tail    []byte
	head    [batchHeaderSize]byte
}

// record appends a zeroed record with its code and instance. It is valid until the next call.
func (b *BatchWriter) record(code EventCode, inst uint32) []byte {
	n := len(b.records)
	b.records = append(b.records, make([]byte, eventSize)...)
	rec := b.records[n:]
	rec[0] = byte(code)
	put32(rec[1:], inst)
	b.count++
	return rec
}

// Start adds the start of an instance with settings as JSON.
func (b *BatchWriter) Start(inst uint32, seed uint64, settings []byte) {
	rec := b.record(EventStart, inst)
	put64(rec[5:], seed)
	put32(rec[13:], uint32(len(b.tail)))
	put32(rec[17:], uint32(len(settings)))
	b.tail = append(b.tail, settings...)
}

// Stop adds the end of an instance.
func (b *BatchWriter) Stop(inst uint32) { b.record(EventStop, inst) }

// TimerFired adds a timer that is due.
func (b *BatchWriter) TimerFired(inst, token uint32) {
	put32(b.record(EventTimerFired, inst)[5:], token)
}

// ClientGone adds the end of a client's wait.
func (b *BatchWriter) ClientGone(inst uint32, id uint64) {
	put64(b.record(EventClientGone, inst)[5:], id)
}

// Request adds a client's request. The deadline is in milliseconds of the simulator's clock; hintMS is
// written only where flags hold FlagCostHint.
func (b *BatchWriter) Request(inst uint32, id uint64, class uint8, tenant uint16, key uint64, deadlineMS, hintMS float64, flags uint8) {
	rec := b.record(EventRequest, inst)
	put64(rec[5:], id)
	rec[13] = class
	put16(rec[14:], tenant)
	put64(rec[16:], key)
	putF64(rec[24:], deadlineMS)
	if flags&FlagCostHint != 0 {
		putF64(rec[32:], hintMS)
	}
	rec[40] = flags
}

// AttemptCompleted adds the end of an attempt after latencyMS milliseconds; load is the load report
// that came with it, four values at most, or empty.
func (b *BatchWriter) AttemptCompleted(inst uint32, id uint64, attempt uint8, server uint32, status uint8, latencyMS float64, closed bool, load ...float32) {
	rec := b.record(EventAttemptCompleted, inst)
	put64(rec[5:], id)
	rec[13] = attempt
	put32(rec[14:], server)
	rec[18] = status
	putF64(rec[19:], latencyMS)
	if closed {
		rec[27] = 1
	}
	putLoad(rec[28:], load)
}

// HealthCheckCompleted adds the result of a health check; load is as in AttemptCompleted.
func (b *BatchWriter) HealthCheckCompleted(inst, server uint32, status uint8, latencyMS float64, load ...float32) {
	rec := b.record(EventHealthCheckCompleted, inst)
	put32(rec[5:], server)
	rec[9] = status
	putF64(rec[10:], latencyMS)
	putLoad(rec[18:], load)
}

// putLoad writes the number of values, then the values as 32-bit floats.
func putLoad(p []byte, load []float32) {
	p[0] = byte(len(load))
	for i, v := range load {
		put32(p[1+4*i:], math.Float32bits(v))
	}
}

// EndpointList adds an endpoint list; kind is 0 failed, 1 cached, 2 full, 3 changes.
func (b *BatchWriter) EndpointList(inst uint32, kind uint8, version uint64, entries []EndpointEntry) {
	rec := b.record(EventEndpointList, inst)
	rec[5] = kind
	put64(rec[6:], version)
	put32(rec[14:], uint32(len(b.tail)))
	put32(rec[18:], uint32(len(entries)))
	for _, entry := range entries {
		var p [entrySize]byte
		put32(p[:], entry.Server)
		p[4], p[5], p[8] = entry.Zone, entry.Kind, entry.State
		put16(p[6:], entry.Cell)
		put32(p[9:], math.Float32bits(float32(entry.Size)))
		putF64(p[13:], entry.StartedAtMS)
		b.tail = append(b.tail, p[:]...)
	}
}

// WriteTo writes the batch with its clock, milliseconds, and its number, and empties it for the next.
// An error is that of w.
func (b *BatchWriter) WriteTo(w io.Writer, clockMS float64, seq uint32) error {
	put32(b.head[:], uint32(b.count))
	put32(b.head[4:], uint32(batchHeaderSize+len(b.records)+len(b.tail)))
	putF64(b.head[8:], clockMS)
	put32(b.head[16:], seq)
	for _, part := range [][]byte{b.head[:], b.records, b.tail} {
		if _, err := w.Write(part); err != nil {
			return err
		}
	}
	b.count, b.records, b.tail = 0, b.records[:0], b.tail[:0]
	return nil
}
