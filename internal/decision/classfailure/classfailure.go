// Package classfailure detects classes of requests that a server fails while it serves others.
//
// Requests of one class can hang or fail on a server that responds to all others: a lock is stuck, or a
// store that only this class needs is gone. The server is then no outlier, since its other responses are
// good and reset the count of consecutive failures. Each request of the class would occupy the server for a
// whole time-out, and all of them would fail. The caller therefore sends them to other servers.
//
// Shares keeps, for each class, the running share of failed attempts at one server, and when a request of
// the class was last sent there. A class is avoided while its share is both high and a multiple of the
// lowest share of the other classes. Where all classes fail, the server is an outlier or the whole fleet is
// in trouble, and avoiding the server for one class does not help. While no requests of the class are sent,
// its share cannot fall. The class is therefore tried again after a time without requests.
//
// Times are durations since the origin of the caller's clock.
package classfailure

import (
	"time"

	"piernotch/internal/decision/estimate"
)

const (
	// minShare is the share of failures above which a class is avoided: two consecutive failed attempts
	// exceed it.
	minShare = 0.3
	// minMultiple is the factor by which the share must also exceed the lowest share of the other classes.
	minMultiple = 3
	// retryObjectives is the time without requests of a class, in latency objectives, after which the class
	// is tried again.
	retryObjectives = 4
)

// Result is how an attempt ended.
type Result uint8

// Results of an attempt. Other never changes the failure share; TimedOut and Cancelled change it only
// if the server hung.
const (
	Other         Result = iota // no information: rejected, not sent, not connected, or the connection broke
	GoodResponse                // the request was served
	ErrorResponse               // an error response; a rejection is Other
	TimedOut                    // no response within the time-out
	Cancelled                   // cancelled before a response
)

// Attempt describes an attempt that has ended.
type Attempt struct {
	Result           Result
	Latency          time.Duration
	Objective        time.Duration // latency objective of its class
	RespondsToOthers bool          // the server has responded to another request since the attempt was sent
}

// hung reports whether the server took too long for this attempt while it responded to others. A cancelled
// attempt counts as too long if it took more than half of its objective.
func (a Attempt) hung() bool {
	tookLong := a.Result == TimedOut || a.Result == Cancelled && a.Latency > a.Objective/2
	return tookLong && a.RespondsToOthers
}

// Shares holds the failure shares of all classes at one server. Create it with New.
type Shares struct {
	classes []record // by class
}

// record is the state of one class at the server.
type record struct {
	failureShare float64       // running share of failed attempts
	lastSentAt   time.Duration // when a request of the class was last sent
}

// New returns Shares for the given number of classes, none of which has failed.
func New(classes int) Shares { return Shares{classes: make([]record, classes)} }

// Grow adds classes up to the given number. It never removes a class.
func (s *Shares) Grow(classes int) {
	for len(s.classes) < classes {
		s.classes = append(s.classes, record{})
	}
}

// RecordSend records that a request of the class is sent to the server now. Avoid measures the time without
// requests from this send.
func (s *Shares) RecordSend(now time.Duration, class int) { s.classes[class].lastSentAt = now }

// RecordAttempt updates the failure share of the class with an attempt that ended. An attempt that got no
// response counts only if the server hung.
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
// serves another class, and a request of the class was sent there within the last retryObjectives latency
// objectives.
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
