package simprotocol

import "io"

// replyGrowth is what a full buffer of records grows by beyond its double, in bytes.
const replyGrowth = actionSize * 64

// Reply collects the actions that answer one batch. Its methods add one record each, in the order
// of the calls; instances and requests are numbered as in the batch. The zero value is empty and
// ready. It is for one goroutine.
type Reply struct {
	count   int
	records []byte
	tail    []byte
	head    [replyHeaderSize]byte
}

// record appends a zeroed record with its code and instance. It is valid until the next call.
func (r *Reply) record(code ActionCode, inst uint32) []byte {
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

// attach appends data to the tail and writes its place into the record.
func (r *Reply) attach(rec, data []byte) {
	put32(rec, uint32(len(r.tail)))
	put32(rec[4:], uint32(len(data)))
	r.tail = append(r.tail, data...)
}

// StartAttempt sends a request to a server. The attempt ends after timeoutMS milliseconds at the
// latest; 0: at the request's deadline.
func (r *Reply) StartAttempt(inst uint32, id uint64, server uint32, timeoutMS float64) {
	rec := r.record(ActionStartAttempt, inst)
	put64(rec[5:], id)
	put32(rec[13:], server)
	putF64(rec[17:], timeoutMS)
}

// CancelAttempt ends the wait for an attempt, numbered from 0 for each request.
func (r *Reply) CancelAttempt(inst uint32, id uint64, attempt uint8) {
	rec := r.record(ActionCancelAttempt, inst)
	put64(rec[5:], id)
	rec[13] = attempt
}

// Fail answers a request with a failure.
func (r *Reply) Fail(inst uint32, id uint64) { put64(r.record(ActionFail, inst)[5:], id) }

// Reject sheds a request; retryAfterMS is the advice to its client in milliseconds, 0: none.
func (r *Reply) Reject(inst uint32, id uint64, retryAfterMS float64) {
	rec := r.record(ActionReject, inst)
	put64(rec[5:], id)
	putF64(rec[13:], retryAfterMS)
}

// SetTimer asks for an EventTimerFired with the token after delayMS milliseconds.
func (r *Reply) SetTimer(inst uint32, delayMS float64, token uint32) {
	rec := r.record(ActionSetTimer, inst)
	putF64(rec[5:], delayMS)
	put32(rec[13:], token)
}

// HealthCheck sends a health check to a server.
func (r *Reply) HealthCheck(inst, server uint32) {
	put32(r.record(ActionHealthCheck, inst)[5:], server)
}

// CloseIdle closes idle connections to a server.
func (r *Reply) CloseIdle(inst, server uint32) { put32(r.record(ActionCloseIdle, inst)[5:], server) }

// FetchEndpoints asks for the full endpoint list once.
func (r *Reply) FetchEndpoints(inst uint32) { r.record(ActionFetchEndpoints, inst) }

// WatchEndpoints begins or ends a watch of the endpoint list.
func (r *Reply) WatchEndpoints(inst uint32, on bool) {
	if rec := r.record(ActionWatchEndpoints, inst); on {
		rec[5] = 1
	}
}

// SendMessage sends a message to a peer, or to all peers with 0xffff.
func (r *Reply) SendMessage(inst uint32, peer uint16, body []byte) {
	rec := r.record(ActionSendMessage, inst)
	put16(rec[5:], peer)
	r.attach(rec[7:], body)
}

// Log adds a line to the simulator's log.
func (r *Reply) Log(inst uint32, text string) { r.attach(r.record(ActionLog, inst)[5:], []byte(text)) }

// ReportFault reports that an instance cannot go on.
func (r *Reply) ReportFault(inst uint32, text string) {
	r.attach(r.record(ActionReportFault, inst)[5:], []byte(text))
}

// WriteTo writes the reply to batch seq and empties it for the next. An error is that of w.
func (r *Reply) WriteTo(w io.Writer, seq uint32) error {
	put32(r.head[:], uint32(r.count))
	put32(r.head[4:], uint32(replyHeaderSize+len(r.records)+len(r.tail)))
	put32(r.head[8:], seq)
	for _, part := range [][]byte{r.head[:], r.records, r.tail} {
		if _, err := w.Write(part); err != nil {
			return err
		}
	}
	r.count, r.records, r.tail = 0, r.records[:0], r.tail[:0]
	return nil
}
