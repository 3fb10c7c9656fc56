package latency

import (
	"time"

	"piernotch/internal/decision/estimate"
)

const (
	// minPathResponses is the number of responses from which the latency of a path is known.
	minPathResponses = 64
	// maxTransitShare is the share of the requests in flight that count as in transit, at most.
	maxTransitShare = 0.75
	// minWorkShare is the work of a light request, as a share of the mean work. A transit below it does not
	// matter.
	minWorkShare = 1.0 / 4
	// transitReserve is the load, in requests, that is added where requests in transit are left out: a
	// request that is mostly in transit makes no room for another.
	transitReserve = 0.25
	// maxWeightFactor bounds the weight that a server gets for being faster than its group, as fast servers
	// would otherwise get all requests at once.
	maxWeightFactor = 2
	// minWeightFactor bounds the weight that a slow server loses: with no requests it could not recover.
	minWeightFactor = 1.0 / 8
	// slowMultiple is how many times its group's mean latency makes a server slow.
	slowMultiple = 2
)

// Path is the estimate of the network path to a zone. Its zero value is not known.
type Path struct {
	fastest   float64 // least latency of a response from there, ms
	responses int     // that it is from
}

func (p *Path) record(ms float64) {
	if p.responses == 0 || ms < p.fastest {
		p.fastest = ms
	}
	p.responses++
}

// Transit returns how long a request takes to a server there: half of the fastest response's latency.
func (p *Path) Transit() time.Duration { return estimate.Milliseconds(p.fastest / 2) }

// Server is the estimate of one server. Its zero value is not known.
type Server struct {
	mean    float64 // latency of a request of mean work, ms; 0: not known
	perWork float64 // latency for each ms of work; 0: not known
}

// ForgetMean drops the mean latency of a server whose process is a new one.
func (s *Server) ForgetMean() { s.mean = 0 }

// startIfUnknown takes a server without a response for as fast as its group.
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

// Expected returns how long the server will take for so much work in ms, that of the requests before a new
// one included.
func (s *Server) Expected(work float64, overall *Overall) float64 {
	perWork := s.perWork
	if perWork == 0 {
		perWork = overall.perWork
	}
	return work * perWork
}

// ByLittlesLaw returns how long a request takes in ms at a server with so many in flight: by Little's law,
// the requests in flight over the completions per second, which must be positive.
func ByLittlesLaw(inflight, completedPerSecond float64) float64 {
	return msPerSecond * inflight / completedPerSecond
}

// WeightFactor returns the factor on the server's weight in its group: above 1 if it is faster than the
// group's mean, and 1 if either is not known.
func (s *Server) WeightFactor(g *Group) float64 {
	if s.mean > 0 && g.mean > 0 {
		return min(max(g.mean/s.mean, minWeightFactor), maxWeightFactor)
	}
	return 1
}

// Slow reports whether the server is much slower than the group's mean.
func (s *Server) Slow(g *Group) bool { return s.mean > slowMultiple*g.mean }

// EffectiveLoad returns how many of this balancer's requests in flight the server holds. The others are in
// transit: where that takes long, a bound on all of them would leave the server idle. The transit time of a
// zone is its fastest response's latency, less a light request's work. It never rises, so that a queue does
// not look like a long path.
func (s *Server) EffectiveLoad(inflight int, meanWork float64, path *Path) float64 {
	lightWork := meanWork * minWorkShare
	transit := path.fastest - lightWork
	pathKnown := path.responses >= minPathResponses
	if !pathKnown || transit <= lightWork || s.mean <= 0 {
		return float64(inflight)
	}
	return float64(inflight)*(1-min(transit/s.mean, maxTransitShare)) + transitReserve
}
