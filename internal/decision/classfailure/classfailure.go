// Package classfailure finds the classes of requests that one server fails while it serves others.
//
// One kind of request can hang or fail on a server that responds to all others: a lock is stuck, or a store
// that only this kind needs is gone. The server is then no outlier, since its other responses are good and
// end every row of failures. Its requests of that class would use up its capacity for a whole time-out
// each, and all of them would fail. The caller therefore sends these to other servers.
//
// Shares keeps, for each class, the running share of failed attempts at one server, and when a request of
// the class was last sent there. A class is avoided while its share is high in itself and a multiple of the
// least share of the other classes: where all classes fail, the server is an outlier, or the whole fleet is
// in trouble, and avoiding it for one class helps nobody. The share cannot fall while nothing is sent, so
// that the class is tried again after a time without requests.
//
// Times are durations since the origin of the caller's clock.
package classfailure

import (
	"time"

	"piernotch/internal/decision/estimate"
)

const (
	// minShare is the share of failures from which a class is avoided: two failed attempts in a row.
	minShare = 0.3
	// minMultiple is how many times the least share of the other classes it has to be.
	minMultiple = 3
	// retryObjectives is the time without requests, in latency objectives, after which the class is tried
	// again.
	retryObjectives = 4
)

// Result is how an attempt ended.
type Result uint8

// The values of Result.
const (
	Other         Result = iota // says nothing of the class: rejected, not connected or not sent
	GoodResponse                // a good response
	ErrorResponse               // any other response
	TimedOut                    // no response within the time-out
	Cancelled                   // cancelled before a response
)

// Attempt is an attempt that has ended.
type Attempt struct {
	Result           Result
	Latency          time.Duration
	Objective        time.Duration // latency objective of its class
	RespondsToOthers bool          // the server has responded to something since the attempt was sent
}

// hung reports whether the server took too long for this attempt while it responded to others. A cancelled
// attempt took too long if it had used half of its objective.
func (a Attempt) hung() bool {
	tookLong := a.Result == TimedOut || a.Result == Cancelled && a.Latency > a.Objective/2
	return tookLong && a.RespondsToOthers
}

// Shares holds the failure shares of one server. New returns a usable one.
type Shares struct {
	classes []record // by class
}

// record is what is known of one class at the server.
type record struct {
	failureShare float64       // running share of failed attempts
	lastSentAt   time.Duration // when a request was last sent
}

// New returns Shares for so many classes, none of which has failed.
func New(classes int) Shares { return Shares{classes: make([]record, classes)} }

// Grow adds classes up to the number. It never removes one.
func (s *Shares) Grow(classes int) {
	for len(s.classes) < classes {
		s.classes = append(s.classes, record{})
	}
}

// RecordSend records that a request of the class is sent to the server.
func (s *Shares) RecordSend(now time.Duration, class int) { s.classes[class].lastSentAt = now }

// RecordAttempt updates the failure share of the class.
func (s *Shares) RecordAttempt(class int, attempt Attempt) {
	responded := attempt.Result == GoodResponse || attempt.Result == ErrorResponse
	if !responded && !attempt.hung() {
		return
	}
	failed := 1.0
	if attempt.Result == GoodResponse {
		failed = 0
	}
	share := &s.classes[class].failureShare
	*share += estimate.ServerSmoothing * (failed - *share)
}

// Avoid reports whether requests of the class are to go to other servers: the server fails the class but
// serves another one, and a request of the class was sent there within the last few latency objectives.
func (s *Shares) Avoid(now time.Duration, class int, objective time.Duration) bool {
	own := s.classes[class]
	if own.failureShare <= minShare {
		return false
	}
	least := 1.0
	for other := range s.classes {
		if other != class {
			least = min(least, s.classes[other].failureShare)
		}
	}
	sentLately := now < own.lastSentAt+retryObjectives*objective
	return own.failureShare > minMultiple*least && sentLately
}
