package simprotocol

import (
	"io"

	"piernotch"
)

// replyGrowth is the number of bytes by which a full buffer of records grows in addition to doubling.
const replyGrowth = actionSize * 64

// Reply collects the actions that answer one batch. Each method but WriteTo appends one record. Balancers and
// requests are numbered as in the batch. The zero value is an empty reply. A Reply must not be used
// concurrently.
type Reply struct {
	count   int
	records []byte
	tail    []byte
	head    [replyHeaderSize]byte
}

// record appends and returns a zeroed record with code and balancer set, valid until the next call.
func (r *Reply) record(code ActionCode, balancer BalancerNumber) []byte {
	end := len(r.records)
	if cap(r.records)-end < actionSize {
		grown := make([]byte, end, 2*cap(r.records)+replyGrowth)
		copy(grown, r.records)
		r.records = grown
	}
	r.records = r.records[:end+actionSize]
	record := r.records[end:]
	clear(record)
	record[0] = code
	put32(record[1:], uint32(balancer))
	r.count++
	return record
}

// attach appends data to the tail, and writes the data's offset and length to record.
func (r *Reply) attach(record, data []byte) {
	put32(record, uint32(len(r.tail)))
	put32(record[4:], uint32(len(data)))
	r.tail = append(r.tail, data...)
}

// StartAttempt sends a request to a server. The attempt ends after timeoutMS at the latest, or at the
// request's deadline if timeoutMS is 0.
func (r *Reply) StartAttempt(balancer BalancerNumber, id uint64, server piernotch.ServerID, timeoutMS float64) {
	record := r.record(ActionStartAttempt, balancer)
	put64(record[5:], id)
	put32(record[13:], uint32(server))
	putF64(record[17:], timeoutMS)
}

// CancelAttempt stops waiting for an attempt. The attempts of a request are numbered from 0.
func (r *Reply) CancelAttempt(balancer BalancerNumber, id uint64, attemptNumber uint8) {
	record := r.record(ActionCancelAttempt, balancer)
	put64(record[5:], id)
	record[13] = attemptNumber
}

// Fail ends a request as failed.
func (r *Reply) Fail(balancer BalancerNumber, id uint64) {
	put64(r.record(ActionFail, balancer)[5:], id)
}

// Reject rejects a request. The client may retry after retryAfterMS; 0: no advice.
func (r *Reply) Reject(balancer BalancerNumber, id uint64, retryAfterMS float64) {
	record := r.record(ActionReject, balancer)
	put64(record[5:], id)
	putF64(record[13:], retryAfterMS)
}

// SetTimer requests an EventTimerFired with the token after delayMS.
func (r *Reply) SetTimer(balancer BalancerNumber, delayMS float64, token uint32) {
	record := r.record(ActionSetTimer, balancer)
	putF64(record[5:], delayMS)
	put32(record[13:], token)
}

// HealthCheck sends a health check to a server.
func (r *Reply) HealthCheck(balancer BalancerNumber, server piernotch.ServerID) {
	put32(r.record(ActionHealthCheck, balancer)[5:], uint32(server))
}

// CloseIdle closes the balancer's idle connections to a server.
func (r *Reply) CloseIdle(balancer BalancerNumber, server piernotch.ServerID) {
	put32(r.record(ActionCloseIdle, balancer)[5:], uint32(server))
}

// FetchEndpoints polls the full endpoint list once.
func (r *Reply) FetchEndpoints(balancer BalancerNumber) { r.record(ActionFetchEndpoints, balancer) }

// WatchEndpoints starts a watch of the endpoint list.
func (r *Reply) WatchEndpoints(balancer BalancerNumber) {
	r.record(ActionWatchEndpoints, balancer)[5] = 1
}

// SendMessage sends a message to another balancer, or to all others if peer is 0xffff.
func (r *Reply) SendMessage(balancer BalancerNumber, peer uint16, body []byte) {
	record := r.record(ActionSendMessage, balancer)
	put16(record[5:], peer)
	r.attach(record[7:], body)
}

// Log writes a line to the simulator's log.
func (r *Reply) Log(balancer BalancerNumber, text string) {
	r.attach(r.record(ActionLog, balancer)[5:], []byte(text))
}

// ReportFault reports an error after which the balancer cannot run.
func (r *Reply) ReportFault(balancer BalancerNumber, text string) {
	r.attach(r.record(ActionReportFault, balancer)[5:], []byte(text))
}

// WriteTo writes the reply to batch seq, and empties the reply unless output returns an error.
func (r *Reply) WriteTo(output io.Writer, seq uint32) error {
	put32(r.head[:], uint32(r.count))
	put32(r.head[4:], uint32(replyHeaderSize+len(r.records)+len(r.tail)))
	put32(r.head[8:], seq)
	for _, part := range [][]byte{r.head[:], r.records, r.tail} {
		if _, err := output.Write(part); err != nil {
			return err
		}
	}
	r.count, r.records, r.tail = 0, r.records[:0], r.tail[:0]
	return nil
}
