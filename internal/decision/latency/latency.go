// Package latency estimates how long servers take for requests.
//
// It keeps four kinds of estimates, all from the latencies of responses:
//
//   - Path: the lowest latency of any response from a zone.
//   - Group, for the servers of one locality: the mean latency, and the mean and mean deviation of the
//     queueing (the latency beyond the work of a request). The queueing figures determine when a response is
//     overdue, as in the retransmission time-out of TCP (RFC 6298).
//   - Server: its mean latency, and its latency for each ms of work.
//   - Overall: the latency for each ms of work over all servers. It replaces a server's own figure while
//     that is unknown.
//
// The work of requests differs by orders of magnitude. A mean of plain latencies would reflect which
// requests a server got rather than how fast it is: servers of heavy requests would look slow and get
// nothing. Mean latencies are therefore normalized to a request of mean work.
//
// The package does not count requests in flight; the caller passes their number in. Work and estimates are
// in ms, as cost hints are.
package latency

import (
	"math"
	"time"

	"piernotch/internal/decision/estimate"
)

const (
	// maxFasterByWork bounds how far below the request's work a latency counts, as a share of the mean work.
	// Otherwise a cost hint that was far too high would give a negative latency for a request of mean work.
	maxFasterByWork = 1.0 / 2
	// silenceDeviations is the number of mean deviations above the mean queueing after which a response is
	// overdue, as in TCP.
	silenceDeviations = 4.0
	// silenceWork is the multiple of its work that a request may take, apart from queueing: cost hints are
	// too low as often as not.
	silenceWork = 2
	msPerSecond = 1000
)

// Response describes a response, or a time-out of a server that responds to other requests.
type Response struct {
	Latency   time.Duration
	Objective time.Duration // latency objective of the request's class; bounds the queueing
	Work      float64       // work of the request, ms
	MeanWork  float64       // mean work of all requests, ms
}

// queueing returns the part of the latency ms that exceeds the request's work, at most the objective.
func (r Response) queueing(ms float64) float64 {
	return min(max(ms-r.Work, 0), r.Objective.Seconds()*msPerSecond)
}

// forMeanWork converts the request's latency ms to the latency that a request of mean work would have had.
func (r Response) forMeanWork(ms float64) float64 {
	return max(ms-r.Work, -r.MeanWork*maxFasterByWork) + r.MeanWork
}

// Overall is the estimate over all servers. Its zero value means unknown.
type Overall struct {
	perWork float64 // latency for each ms of work, queueing included; 0: unknown
}

// PerWork returns the latency for each ms of work, queueing included; 0 if it is unknown.
func (o *Overall) PerWork() float64 { return o.perWork }

// Needed returns how long a request with the given work, in ms, takes on average over all servers; 0 if that
// is unknown.
func (o *Overall) Needed(work float64) time.Duration {
	return estimate.Milliseconds(work * o.perWork)
}

// Group is the estimate for the servers of one locality. Its zero value means unknown.
type Group struct {
	mean              float64 // latency of a request of mean work, ms; 0: unknown
	queueingMean      float64 // mean latency beyond the work itself, ms
	queueingDeviation float64 // mean deviation of the queueing, ms
}

// Mean returns the mean latency of a request of mean work, in ms; 0 if it is unknown.
func (g *Group) Mean() float64 { return g.mean }

// QueueingMean returns the mean latency beyond the work itself, in ms; 0 if it is unknown.
func (g *Group) QueueingMean() float64 { return g.queueingMean }

// SilenceTimeout returns the time after which a response to a request with the given work, in ms, is
// overdue. Before the first response of the group, the shortest latency objective replaces the queueing.
func (g *Group) SilenceTimeout(work float64, shortestObjective time.Duration) time.Duration {
	ms := silenceWork*work + g.queueingMean + silenceDeviations*g.queueingDeviation
	if g.mean == 0 {
		ms = silenceWork*work + float64(shortestObjective)/float64(time.Millisecond)
	}
	return estimate.Milliseconds(ms)
}

// Estimates holds the estimates that a response from one server updates.
type Estimates struct {
	Overall *Overall
	Group   *Group // of the server's locality
	Server  *Server
	Path    *Path // to the server's zone
}

// Record updates the estimates with a response. It returns the response's queueing in ms: the latency beyond
// the request's work, at most the objective.
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

// startIfUnknown initializes the means with the first response, and the deviation with half of that
// response's queueing, as RFC 6298 does.
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
