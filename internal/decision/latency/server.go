package latency

import (
	"time"

	"piernotch/internal/decision/estimate"
)

const (
	// minPathResponses is the number of responses from which the latency of a path counts as known.
	minPathResponses = 64
	// maxTransitShare is the largest share of the requests in flight that counts as in transit.
	maxTransitShare = 0.75
	// minWorkShare is the work of a light request, as a share of the mean work. A transit time that is
	// not longer than that work is ignored.
	minWorkShare = 1.0 / 4
	// transitReserve is added to the load, in requests, where requests in transit are left out: a request
	// that is mostly in transit must not make room for another request.
	transitReserve = 0.25
	// maxWeightFactor bounds the weight factor of a server that is faster than its group. Otherwise fast
	// servers would get all requests at once.
	maxWeightFactor = 2
	// minWeightFactor bounds the weight factor of a slow server from below. Without any requests, the
	// server's estimate could not recover.
	minWeightFactor = 1.0 / 8
	// slowMultiple is the multiple of its group's mean latency above which a server is slow.
	slowMultiple = 2
)

// Path is the estimate for the network path to a zone. Its zero value means unknown.
type Path struct {
	fastest   float64 // lowest latency of a response from the zone, ms
	responses int     // number of responses so far
}

func (p *Path) record(ms float64) {
	if p.responses == 0 || ms < p.fastest {
		p.fastest = ms
	}
	p.responses++
}

// Transit estimates the one-way time to the zone as half of the lowest latency; 0 before the first response.
func (p *Path) Transit() time.Duration { return estimate.Milliseconds(p.fastest / 2) }

// Server is the estimate for one server. Its zero value means unknown.
type Server struct {
	mean    float64 // latency of a request of mean work, ms; 0: unknown
	perWork float64 // latency for each ms of work; 0: unknown
}

// ForgetMean discards the mean latency because the server has a new process.
func (s *Server) ForgetMean() { s.mean = 0 }

// startIfUnknown assumes that a server without a mean latency is as fast as its group.
func (s *Server) startIfUnknown(g *Group) {
	if s.mean == 0 {
		s.mean = g.mean
	}
}

func (s *Server) record(typical, ms float64, response Response) {
	s.mean += estimate.ServerSmoothing * (typical - s.mean)
	gain := estimate.ServerSmoothing * response.Work / response.MeanWork
	s.perWork = estimate.UpdateRatio(s.perWork, ms, response.Work, gain)
}

// Expected returns how long, in ms, the server will take for work in ms; 0 if that is unknown. The caller
// includes the work of the requests ahead of a new one.
func (s *Server) Expected(work float64, overall *Overall) float64 {
	perWork := s.perWork
	if perWork == 0 {
		perWork = overall.perWork
	}
	return work * perWork
}

// ByLittlesLaw returns the latency in ms of a server, by Little's law: the number of requests in flight
// divided by the completions per second, which must be positive.
func ByLittlesLaw(inflight, completedPerSecond float64) float64 {
	return msPerSecond * inflight / completedPerSecond
}

// WeightFactor returns the factor on the server's weight in its group: above 1 if it is faster than the
// group's mean, below 1 if it is slower, and 1 if either is unknown.
func (s *Server) WeightFactor(g *Group) float64 {
	if s.mean > 0 && g.mean > 0 {
		return min(max(g.mean/s.mean, minWeightFactor), maxWeightFactor)
	}
	return 1
}

// Slow reports whether the server's mean latency is more than slowMultiple times its group's.
func (s *Server) Slow(g *Group) bool { return s.mean > slowMultiple*g.mean }

// EffectiveLoad estimates how many of this balancer's requests in flight the server holds, as opposed to
// those in transit. On a long path, a bound on all requests in flight would leave the server idle. The
// transit time of a zone is the lowest latency of its responses, less the work of a light request. It never
// rises, so a queue is not mistaken for a long path. All requests count if the path is short or
// unknown, or the server's mean latency unknown.
func (s *Server) EffectiveLoad(inflight int, meanWork float64, path *Path) float64 {
	lightWork := meanWork * minWorkShare
	transit := path.fastest - lightWork
	pathKnown := path.responses >= minPathResponses
	if !pathKnown || transit <= lightWork || s.mean <= 0 {
		return float64(inflight)
	}
	return float64(inflight)*(1-min(transit/s.mean, maxTransitShare)) + transitReserve
}
