// Package wire speaks the binary frames of the simulator: batches of events
// come in, one reply of actions goes out for each. It knows the names and codes
// of the wire and nothing of decisions.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
)

// Sizes of the fixed parts, in bytes.
const (
	batchHeader = 20
	replyHeader = 12
	eventSize   = 48
	actionSize  = 32
	entrySize   = 21
)

// EventCode is the kind of an event.
type EventCode uint8

// Event codes.
const (
	EventMessage EventCode = iota
	EventStart
	EventTimerFired
	EventRequest
	EventClientGone
	EventHealthCheckCompleted
	EventEndpointList
	EventResponseStarted
	EventStop
	EventAttemptCompleted
)

// Batch is one frame of events. It is valid until the next call of Next.
type Batch struct {
	ClockMS float64
	Seq     uint32
	Count   int
	records []byte
	tail    []byte
}

// Reader reads batches.
type Reader struct {
	input  io.Reader
	buffer []byte
	batch  Batch
}

// NewReader returns a Reader on src.
func NewReader(src io.Reader) *Reader { return &Reader{input: src} }

// Next reads one batch. It returns io.EOF at a clean end of input.
func (r *Reader) Next() (*Batch, error) {
	r.buffer = r.buffer[:0]
	if err := r.fill(batchHeader); err != nil {
		if errors.Is(err, io.EOF) && len(r.buffer) == 0 {
			return nil, io.EOF
		}
		return nil, fmt.Errorf("batch header cut short after %d of %d bytes", len(r.buffer), batchHeader)
	}
	count := uint64(binary.LittleEndian.Uint32(r.buffer))
	length := uint64(binary.LittleEndian.Uint32(r.buffer[4:]))
	if length < batchHeader+count*eventSize {
		return nil, fmt.Errorf("batch of %d events says it is %d bytes long", count, length)
	}
	if err := r.fill(int(length)); err != nil {
		return nil, fmt.Errorf("batch cut short after %d of %d bytes", len(r.buffer), length)
	}
	end := batchHeader + int(count)*eventSize
	r.batch = Batch{
		ClockMS: f64(r.buffer[8:]),
		Seq:     binary.LittleEndian.Uint32(r.buffer[16:]),
		Count:   int(count),
		records: r.buffer[batchHeader:end],
		tail:    r.buffer[end:],
	}
	if math.IsNaN(r.batch.ClockMS) || math.IsInf(r.batch.ClockMS, 0) {
		return nil, fmt.Errorf("batch %d: the clock is %v", r.batch.Seq, r.batch.ClockMS)
	}
	return &r.batch, nil
}

// fill reads until the buffer holds n bytes. It grows only as bytes arrive, so
// a wrong length costs no memory.
func (r *Reader) fill(n int) error {
	const step = 1 << 20
	for len(r.buffer) < n {
		have := len(r.buffer)
		want := min(n, max(have+step, cap(r.buffer)))
		if cap(r.buffer) < want {
			grown := make([]byte, have, max(want, min(2*cap(r.buffer), n)))
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

// Event is one decoded event; which fields count depends on Code.
type Event struct {
	Code       EventCode
	Instance   uint32
	Seed       uint64  // Start
	Data       []byte  // Start: settings; Message: body
	Token      uint32  // TimeoutFired
	ID         uint64  // Demand, ClientGone, Streaming, Verdict
	Class      uint8   // Demand
	Tenant     uint16  // Demand
	Key        uint64  // Demand
	DeadlineMS float64 // Demand, clock milliseconds
	CostHintMS float64 // Demand
	Flags      uint8   // Demand
	Backend    uint32  // PingResult, Streaming, Verdict
	Status     uint8   // PingResult, Verdict
	LatencyMS  float64 // PingResult, Streaming, Verdict
	Attempt    uint8   // Streaming, Verdict
	Closed     bool    // Verdict
	ListKind   uint8   // View
	Entries    []byte  // View: whole entries, for Line
	From       uint32  // Message
	Load       [4]float64
	LoadCount  int
}

// Demand flags.
const (
	FlagCostHint = 1
	FlagRetry    = 2
	FlagWrite    = 4
)

// Event decodes record i into e.
func (b *Batch) Event(i int, e *Event) error {
	rec := b.records[i*eventSize : (i+1)*eventSize]
	*e = Event{Code: EventCode(rec[0]), Instance: u32(rec[1:])}
	var err error
	switch e.Code {
	case EventStart:
		e.Seed = u64(rec[5:])
		e.Data, err = b.tailSlice(u32(rec[13:]), u32(rec[17:]), 1)
	case EventEndpointList:
		e.ListKind = rec[5]
		e.Entries, err = b.tailSlice(u32(rec[14:]), u32(rec[18:]), entrySize)
	case EventMessage:
		e.From = u32(rec[5:])
		e.Data, err = b.tailSlice(u32(rec[9:]), u32(rec[13:]), 1)
	case EventRequest:
		e.ID, e.Class, e.Tenant, e.Key = u64(rec[5:]), rec[13], u16(rec[14:]), u64(rec[16:])
		e.DeadlineMS, e.CostHintMS, e.Flags = f64(rec[24:]), f64(rec[32:]), rec[40]
	case EventAttemptCompleted:
		e.ID, e.Attempt, e.Backend, e.Status = u64(rec[5:]), rec[13], u32(rec[14:]), rec[18]
		e.LatencyMS, e.Closed = f64(rec[19:]), rec[27] != 0
		err = e.decodeLoad(rec[28:])
	case EventHealthCheckCompleted:
		e.Backend, e.Status, e.LatencyMS = u32(rec[5:]), rec[9], f64(rec[10:])
		err = e.decodeLoad(rec[18:])
	case EventResponseStarted:
		e.ID, e.LatencyMS, e.Backend, e.Attempt = u64(rec[5:]), f64(rec[13:]), u32(rec[21:]), rec[25]
	case EventClientGone:
		e.ID = u64(rec[5:])
	case EventTimerFired:
		e.Token = u32(rec[5:])
	case EventStop:
	default:
		err = errors.New("unknown code")
	}
	if err != nil {
		return fmt.Errorf("batch %d, event %d (code %d): %w", b.Seq, i, rec[0], err)
	}
	return nil
}

func (e *Event) decodeLoad(p []byte) error {
	e.LoadCount = int(p[0])
	if e.LoadCount > len(e.Load) {
		return fmt.Errorf("load report of %d values", e.LoadCount)
	}
	for i := range e.LoadCount {
		e.Load[i] = float64(math.Float32frombits(u32(p[1+4*i:])))
	}
	return nil
}

// tailSlice returns n items of the given size at an offset of the tail.
func (b *Batch) tailSlice(at, n uint32, size uint64) ([]byte, error) {
	end := uint64(at) + uint64(n)*size
	if end > uint64(len(b.tail)) {
		return nil, fmt.Errorf("tail offset %d, count %d: the tail has %d bytes", at, n, len(b.tail))
	}
	return b.tail[at:end], nil
}

// EndpointEntry is one entry of a View.
type EndpointEntry struct {
	Backend     uint32
	Zone        uint8
	Kind        uint8
	Cell        uint16
	State       uint8
	Size        float64
	StartedAtMS float64
}

// EntryCount tells how many entries a View holds.
func (e *Event) EntryCount() int { return len(e.Entries) / entrySize }

// Entry decodes entry i of a View.
func (e *Event) Entry(i int) EndpointEntry {
	p := e.Entries[i*entrySize:]
	return EndpointEntry{
		Backend: u32(p), Zone: p[4], Kind: p[5], Cell: u16(p[6:]), State: p[8],
		Size: float64(math.Float32frombits(u32(p[9:]))), StartedAtMS: f64(p[13:]),
	}
}

// Reply collects the actions that answer one batch.
type Reply struct {
	count   int
	records []byte
	tail    []byte
	head    [replyHeader]byte
}

// Action codes.
const (
	actCancel   = 0
	actProbe    = 1
	actSend     = 2
	actFail     = 3
	actTimer    = 4
	actClose    = 5
	actFault    = 6
	actRefuse   = 7
	actFetch    = 8
	actWatch    = 9
	actLog      = 10
	actTell     = 11
	replyGrowth = actionSize * 64
)

func (r *Reply) record(code uint8, inst uint32) []byte {
	n := len(r.records)
	if cap(r.records)-n < actionSize {
		grown := make([]byte, n, 2*cap(r.records)+replyGrowth)
		copy(grown, r.records)
		r.records = grown
	}
	r.records = r.records[:n+actionSize]
	rec := r.records[n:]
	clear(rec)
	rec[0] = code
	put32(rec[1:], inst)
	r.count++
	return rec
}

func (r *Reply) attach(rec, data []byte) {
	put32(rec, uint32(len(r.tail)))
	put32(rec[4:], uint32(len(data)))
	r.tail = append(r.tail, data...)
}

// StartAttempt starts an attempt.
func (r *Reply) StartAttempt(inst uint32, id uint64, backend uint32, timeoutMS float64) {
	rec := r.record(actSend, inst)
	put64(rec[5:], id)
	put32(rec[13:], backend)
	putF64(rec[17:], timeoutMS)
}

// CancelAttempt ends the wait for an attempt.
func (r *Reply) CancelAttempt(inst uint32, id uint64, attempt uint8) {
	rec := r.record(actCancel, inst)
	put64(rec[5:], id)
	rec[13] = attempt
}

// Fail answers failed.
func (r *Reply) Fail(inst uint32, id uint64) { put64(r.record(actFail, inst)[5:], id) }

// Reject answers refused.
func (r *Reply) Reject(inst uint32, id uint64, awayMS float64) {
	rec := r.record(actRefuse, inst)
	put64(rec[5:], id)
	putF64(rec[13:], awayMS)
}

// SetTimer asks for a TimeoutFired.
func (r *Reply) SetTimer(inst uint32, delayMS float64, token uint32) {
	rec := r.record(actTimer, inst)
	putF64(rec[5:], delayMS)
	put32(rec[13:], token)
}

// HealthCheck examines a backend.
func (r *Reply) HealthCheck(inst, backend uint32) { put32(r.record(actProbe, inst)[5:], backend) }

// CloseIdle closes idle connections to a backend.
func (r *Reply) CloseIdle(inst, backend uint32) { put32(r.record(actClose, inst)[5:], backend) }

// FetchEndpoints asks for the whole list once.
func (r *Reply) FetchEndpoints(inst uint32) { r.record(actFetch, inst) }

// WatchEndpoints subscribes to the list's changes, or ends that.
func (r *Reply) WatchEndpoints(inst uint32, on bool) {
	if rec := r.record(actWatch, inst); on {
		rec[5] = 1
	}
}

// SendMessage sends a message to a peer, or to all with 0xffff.
func (r *Reply) SendMessage(inst uint32, peer uint16, body []byte) {
	rec := r.record(actTell, inst)
	binary.LittleEndian.PutUint16(rec[5:], peer)
	r.attach(rec[7:], body)
}

// Log adds a line to the report.
func (r *Reply) Log(inst uint32, text string) { r.attach(r.record(actLog, inst)[5:], []byte(text)) }

// ReportFault reports that an instance cannot go on.
func (r *Reply) ReportFault(inst uint32, text string) {
	r.attach(r.record(actFault, inst)[5:], []byte(text))
}

// WriteTo writes the reply to batch seq and empties it for the next.
func (r *Reply) WriteTo(w io.Writer, seq uint32) error {
	put32(r.head[:], uint32(r.count))
	put32(r.head[4:], uint32(replyHeader+len(r.records)+len(r.tail)))
	put32(r.head[8:], seq)
	for _, part := range [][]byte{r.head[:], r.records, r.tail} {
		if _, err := w.Write(part); err != nil {
			return err
		}
	}
	r.count, r.records, r.tail = 0, r.records[:0], r.tail[:0]
	return nil
}

func u16(p []byte) uint16  { return binary.LittleEndian.Uint16(p) }
func u32(p []byte) uint32  { return binary.LittleEndian.Uint32(p) }
func u64(p []byte) uint64  { return binary.LittleEndian.Uint64(p) }
func f64(p []byte) float64 { return math.Float64frombits(u64(p)) }

func put32(p []byte, v uint32)   { binary.LittleEndian.PutUint32(p, v) }
func put64(p []byte, v uint64)   { binary.LittleEndian.PutUint64(p, v) }
func putF64(p []byte, v float64) { put64(p, math.Float64bits(v)) }
