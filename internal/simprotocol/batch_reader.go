package simprotocol

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"piernotch"
)

// Batch is one frame of events. It is valid until the next call of Reader.Next.
type Batch struct {
	ClockMS float64 // the simulator's clock; finite
	Seq     uint32  // number of the batch; the reply repeats it
	Count   int     // number of events
	records []byte
	tail    []byte
}

// Reader reads batches from a stream. A Reader must not be used concurrently.
type Reader struct {
	input  io.Reader
	buffer []byte
	batch  Batch
}

// NewReader returns a Reader of input, which should be buffered.
func NewReader(input io.Reader) *Reader { return &Reader{input: input} }

// Next reads one batch. It returns io.EOF if the input ends between batches, and a *FrameError if a batch
// is truncated or malformed.
func (r *Reader) Next() (*Batch, error) {
	r.buffer = r.buffer[:0]
	if err := r.fill(batchHeaderSize); err != nil {
		if errors.Is(err, io.EOF) && len(r.buffer) == 0 {
			return nil, io.EOF
		}
		return nil, frameError(0, "batch header cut short after %d of %d bytes", len(r.buffer), batchHeaderSize)
	}
	count := uint64(binary.LittleEndian.Uint32(r.buffer))
	length := uint64(binary.LittleEndian.Uint32(r.buffer[4:]))
	if length < batchHeaderSize+count*eventSize {
		return nil, frameError(0, "batch of %d events says it is %d bytes long", count, length)
	}
	if err := r.fill(int(length)); err != nil {
		return nil, frameError(0, "batch cut short after %d of %d bytes", len(r.buffer), length)
	}
	end := batchHeaderSize + int(count)*eventSize
	r.batch = Batch{
		ClockMS: f64(r.buffer[8:]),
		Seq:     binary.LittleEndian.Uint32(r.buffer[16:]),
		Count:   int(count),
		records: r.buffer[batchHeaderSize:end],
		tail:    r.buffer[end:],
	}
	if math.IsNaN(r.batch.ClockMS) || math.IsInf(r.batch.ClockMS, 0) {
		return nil, frameError(r.batch.Seq, "batch %d: the clock is %v", r.batch.Seq, r.batch.ClockMS)
	}
	return &r.batch, nil
}

// frameError returns a *FrameError about a whole frame.
func frameError(seq uint32, format string, args ...any) error {
	return &FrameError{Seq: seq, Record: -1, Err: fmt.Errorf(format, args...)}
}

// fill reads until the buffer holds size bytes. The buffer grows only as bytes arrive, so a wrong length
// causes no huge allocation.
func (r *Reader) fill(size int) error {
	const step = 1 << 20
	for len(r.buffer) < size {
		have := len(r.buffer)
		want := min(size, max(have+step, cap(r.buffer)))
		if cap(r.buffer) < want {
			grown := make([]byte, have, max(want, min(2*cap(r.buffer), size)))
			copy(grown, r.buffer)
			r.buffer = grown
		}
		got, err := io.ReadFull(r.input, r.buffer[have:want])
		r.buffer = r.buffer[:have+got]
		if err != nil {
			return err
		}
	}
	return nil
}

// Event is one decoded event. Code and Balancer are always set. The comment of each other field lists the
// codes that set the field, without the prefix "Event".
type Event struct {
	Code          EventCode
	Balancer      BalancerNumber
	Seed          uint64             // Start
	Data          []byte             // Start: settings; Message: body
	Token         uint32             // TimerFired
	ID            uint64             // Request, ClientGone, ResponseStarted, AttemptCompleted
	Class         uint8              // Request
	Tenant        uint16             // Request
	Key           uint64             // Request
	DeadlineMS    float64            // Request: time on the simulator's clock
	CostHintMS    float64            // Request: ms of work, if Flags contains FlagCostHint
	Flags         uint8              // Request
	Server        piernotch.ServerID // HealthCheckCompleted, ResponseStarted, AttemptCompleted
	Status        uint8              // HealthCheckCompleted, AttemptCompleted
	LatencyMS     float64            // HealthCheckCompleted, ResponseStarted, AttemptCompleted
	AttemptNumber uint8              // ResponseStarted, AttemptCompleted
	Closed        bool               // AttemptCompleted: the request has its final response
	ListKind      uint8              // EndpointList
	Entries       []byte             // EndpointList: encoded entries, see Entry
	From          uint32             // Message: the sender
	Load          [4]float64         // HealthCheckCompleted, AttemptCompleted: values of the load report
	LoadCount     int                // HealthCheckCompleted, AttemptCompleted: values in Load; 0: no report
}

// Event decodes record i into event without allocating. Data and Entries are slices of the batch's buffer, valid
// until the next call of Reader.Next. Any error is a *FrameError.
func (b *Batch) Event(i int, event *Event) error {
	record := b.records[i*eventSize : (i+1)*eventSize]
	*event = Event{Code: EventCode(record[0]), Balancer: BalancerNumber(u32(record[1:]))}
	if err := b.decode(record, event); err != nil {
		return &FrameError{
			Seq:    b.Seq,
			Record: i,
			Err:    fmt.Errorf("batch %d, event %d (code %d): %w", b.Seq, i, record[0], err),
		}
	}
	return nil
}

// decode sets the fields of event other than Code and Balancer.
func (b *Batch) decode(record []byte, event *Event) error {
	var err error
	switch event.Code {
	case EventStart:
		event.Seed = u64(record[5:])
		event.Data, err = b.tailSlice(u32(record[13:]), u32(record[17:]), 1)
	case EventEndpointList:
		event.ListKind = record[5]
		event.Entries, err = b.tailSlice(u32(record[14:]), u32(record[18:]), entrySize)
	case EventMessage:
		event.From = u32(record[5:])
		event.Data, err = b.tailSlice(u32(record[9:]), u32(record[13:]), 1)
	case EventRequest:
		event.decodeRequest(record)
	case EventAttemptCompleted:
		event.ID, event.AttemptNumber = u64(record[5:]), record[13]
		event.Server, event.Status = piernotch.ServerID(u32(record[14:])), record[18]
		event.LatencyMS, event.Closed = f64(record[19:]), record[27] != 0
		err = event.decodeLoad(record[28:])
	case EventHealthCheckCompleted:
		event.Server, event.Status, event.LatencyMS = piernotch.ServerID(u32(record[5:])), record[9], f64(record[10:])
		err = event.decodeLoad(record[18:])
	case EventResponseStarted:
		event.ID, event.LatencyMS = u64(record[5:]), f64(record[13:])
		event.Server, event.AttemptNumber = piernotch.ServerID(u32(record[21:])), record[25]
	case EventClientGone:
		event.ID = u64(record[5:])
	case EventTimerFired:
		event.Token = u32(record[5:])
	case EventStop:
	default:
		err = errors.New("unknown code")
	}
	return err
}

func (e *Event) decodeRequest(record []byte) {
	e.ID = u64(record[5:])
	e.Class = record[13]
	e.Tenant = u16(record[14:])
	e.Key = u64(record[16:])
	e.DeadlineMS = f64(record[24:])
	e.CostHintMS = f64(record[32:])
	e.Flags = record[40]
}

// decodeLoad decodes a load report: the number of values, at most four, then the values as 32-bit floats.
func (e *Event) decodeLoad(data []byte) error {
	e.LoadCount = int(data[0])
	if e.LoadCount > len(e.Load) {
		return fmt.Errorf("load report of %d values", e.LoadCount)
	}
	for i := range e.LoadCount {
		e.Load[i] = float64(math.Float32frombits(u32(data[1+4*i:])))
	}
	return nil
}

// tailSlice returns count items of size bytes each, from an offset in the tail on, or an
// error if the tail is too short.
func (b *Batch) tailSlice(offset, count uint32, size uint64) ([]byte, error) {
	end := uint64(offset) + uint64(count)*size
	if end > uint64(len(b.tail)) {
		return nil, fmt.Errorf("tail offset %d, count %d: the tail has %d bytes", offset, count, len(b.tail))
	}
	return b.tail[offset:end], nil
}

// EndpointEntry is one server in an endpoint list.
type EndpointEntry struct {
	Server      piernotch.ServerID
	Zone        uint8
	Kind        uint8 // index into ExtraSettings.ServerKinds
	Cell        uint16
	State       uint8 // see StateCode
	Size        float64
	StartedAtMS float64 // when the process started; 0: unknown or long ago
}

// EntryCount returns the number of entries in an endpoint list.
func (e *Event) EntryCount() int { return len(e.Entries) / entrySize }

// Entry decodes entry i of an endpoint list. The state is not checked.
func (e *Event) Entry(i int) EndpointEntry {
	data := e.Entries[i*entrySize:]
	return EndpointEntry{
		Server: piernotch.ServerID(u32(data)), Zone: data[4], Kind: data[5], Cell: u16(data[6:]), State: data[8],
		Size: float64(math.Float32frombits(u32(data[9:]))), StartedAtMS: f64(data[13:]),
	}
}
