// Package latency estimates how long servers take for requests.
//
// It keeps estimates of four kinds, each from the latencies of responses alone:
//
//   - Path, of the network path to a zone: the least latency that a response from there had.
//   - Group, of the servers of one locality: the mean latency, and the queueing (the latency beyond the
//     work of a request) with its mean and mean deviation. From these follows the time from which the
//     silence of a server counts, as the retransmission time-out does in TCP (RFC 6298).
//   - Server: its mean latency, and its latency for each ms of work.
//   - Overall: the latency for each ms of work over all servers, where a server's own is not known yet.
//
// Requests differ in their work by orders of magnitude. A mean of their plain latencies would show which
// requests a server got, rather than how fast it is: servers of heavy requests would look slow and get
// nothing. Mean latencies are therefore those of a request of mean work.
//
// Nothing here knows how many requests are in flight; the caller passes that in. Work and estimates are in
// ms, as cost hints are.
package latency

import (
	"math"
	"time"

	"piernotch/internal/decision/estimate"
)

const (
	// maxFasterByWork bounds how much of a mean request's work a response may have been faster than its own
	// work: a cost hint that was far too high would else give a latency below zero.
	maxFasterByWork = 1.0 / 2
	// silenceDeviations is the number of mean deviations beyond the mean from which silence counts, as in
	// TCP.
	silenceDeviations = 4.0
	// silenceWork is how many times its work a request may take, queueing apart: hints are too low as often
	// as not.
	silenceWork = 2
	// msPerSecond converts seconds to milliseconds.
	msPerSecond = 1000
)

// Response is a response, or a time-out of a server that responds to others.
type Response struct {
	Latency   time.Duration
	Objective time.Duration // latency objective of the request's class; queueing counts up to it
	Work      float64       // of the request, ms
	MeanWork  float64       // of all requests, ms
}

// queueing returns the latency beyond the request's work in ms, at most the objective.
func (r Response) queueing(ms float64) float64 {
	return min(max(ms-r.Work, 0), r.Objective.Seconds()*msPerSecond)
}

// forMeanWork returns the latency in ms that a request of mean work would have had.
func (r Response) forMeanWork(ms float64) float64 {
	return max(ms-r.Work, -r.MeanWork*maxFasterByWork) + r.MeanWork
}

// Overall is the estimate over all servers. Its zero value is not known.
type Overall struct {
	perWork float64 // latency for each ms of work, queueing included; 0: not known
}

// PerWork returns the latency for each ms of work, queueing included; 0 if it is not known.
func (o *Overall) PerWork() float64 { return o.perWork }

// Needed returns how long a request of so much work takes, by the mean over all servers.
func (o *Overall) Needed(work float64) time.Duration {
	return estimate.Milliseconds(work * o.perWork)
}

// Group is the estimate of the servers of one locality. Its zero value is not known.
type Group struct {
	mean              float64 // latency of a request of mean work, ms; 0: not known
	queueingMean      float64 // latency beyond the work itself, ms
	queueingDeviation float64 // mean deviation of that, ms
}

// Mean returns the mean latency of a request of mean work in ms; 0 if it is not known.
func (g *Group) Mean() float64 { return g.mean }

// QueueingMean returns the mean latency beyond the work itself, in ms.
func (g *Group) QueueingMean() float64 { return g.queueingMean }

// SilenceTimeout returns how long a response for that much work may take before it is overdue. Without any
// response so far, the shortest latency objective takes the place of the queueing.
func (g *Group) SilenceTimeout(work float64, shortestObjective time.Duration) time.Duration {
	ms := silenceWork*work + g.queueingMean + silenceDeviations*g.queueingDeviation
	if g.mean == 0 {
		ms = silenceWork*work + float64(shortestObjective)/float64(time.Millisecond)
	}
	return estimate.Milliseconds(ms)
}

// Estimates are those that a response from a server concerns.
type Estimates struct {
	Overall *Overall
	Group   *Group // of the server
	Server  *Server
	Path    *Path // to the server's zone
}

// Record updates the estimates by a response, and returns its queueing in ms: the latency beyond the
// request's work, at most the objective.
func (e Estimates) Record(response Response) (queueing float64) {
	ms := response.Latency.Seconds() * msPerSecond
	queueing = response.queueing(ms)
	typical := response.forMeanWork(ms)
	e.Group.startIfUnknown(typical, queueing)
	e.Server.startIfUnknown(e.Group)
	e.Path.record(ms)
	e.Overall.record(ms, response)
	e.Server.record(typical, ms, response)
	e.Group.record(typical, queueing)
	return queueing
}

func (o *Overall) record(ms float64, response Response) {
	gain := estimate.GroupSmoothing * response.Work / response.MeanWork
	o.perWork = estimate.UpdateRatio(o.perWork, ms, response.Work, gain)
}

// startIfUnknown takes the first response as the mean, and half of its queueing as the deviation, as
// RFC 6298 does.
func (g *Group) startIfUnknown(typical, queueing float64) {
	if g.mean == 0 {
		g.mean, g.queueingMean, g.queueingDeviation = typical, queueing, queueing/2
	}
}

func (g *Group) record(typical, queueing float64) {
	g.mean += estimate.GroupSmoothing * (typical - g.mean)
	g.queueingDeviation += estimate.GroupSmoothing * (math.Abs(queueing-g.queueingMean) - g.queueingDeviation)
	g.queueingMean += estimate.GroupSmoothing * (queueing - g.queueingMean)
}
