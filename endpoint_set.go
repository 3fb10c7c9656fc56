package piernotch

import (
	"cmp"
	"slices"
	"time"

	"piernotch/internal/decision/classfailure"
	"piernotch/internal/decision/lanes"
	"piernotch/internal/decision/latency"
	"piernotch/internal/decision/loadreport"
	"piernotch/internal/decision/outlier"
	"piernotch/internal/decision/slowstart"
)

// locality says whether a server is in this balancer's own zone. The servers of each locality form a group.
type locality int

const (
	localZone   locality = iota
	remoteZones          // all zones but the balancer's own
)

const localityCount = 2

// endpointSet holds the listed servers, the servers that operators exclude, the paths to the zones, and the
// peak size of each locality. Only its methods change these fields.
type endpointSet struct {
	ownZone  int
	byID     map[ServerID]*server
	sorted   []*server              // by ID
	excluded map[ServerID]bool      // by operators, listed or not
	paths    map[int]*latency.Path  // by zone
	peakSize [localityCount]float64 // by locality: greatest sum of its servers' sizes so far
}

func newEndpointSet(ownZone int) endpointSet {
	return endpointSet{
		ownZone: ownZone, byID: map[ServerID]*server{}, excluded: map[ServerID]bool{},
		paths: map[int]*latency.Path{},
	}
}

// find returns the listed server with that ID, or nil.
func (s *endpointSet) find(id ServerID) *server { return s.byID[id] }

// add adds a newly listed server, and sets its path, exclusion and locality. The servers are out of order
// until finishUpdate.
func (s *endpointSet) add(added *server) {
	if s.paths[added.Zone] == nil {
		s.paths[added.Zone] = &latency.Path{}
	}
	added.path = s.paths[added.Zone]
	added.excluded = s.excluded[added.ID]
	added.locality = localZone
	if added.Zone != s.ownZone {
		added.locality = remoteZones
	}
	s.byID[added.ID] = added
	s.sorted = append(s.sorted, added)
}

// update replaces the entry of a listed server, and reports whether its start time shows a restart.
func (s *endpointSet) update(target *server, entry Endpoint) (restarted bool) {
	restarted = entry.StartedAt != target.StartedAt
	target.Endpoint = entry
	return restarted
}

// markGone marks as gone the servers that a complete list does not name.
func (s *endpointSet) markGone(named map[ServerID]bool) {
	for _, target := range s.sorted {
		if !named[target.ID] {
			target.State = Gone
		}
	}
}

// finishUpdate removes the servers that are gone, updates the peak sizes and sorts the other servers. It must
// be called after each update of the list.
func (s *endpointSet) finishUpdate() {
	s.sorted = slices.DeleteFunc(s.sorted, func(target *server) bool {
		if target.State != Gone {
			return false
		}
		delete(s.byID, target.ID)
		return true
	})
	s.updatePeakSizes()
	slices.SortFunc(s.sorted, func(x, y *server) int { return cmp.Compare(x.ID, y.ID) })
}

// updatePeakSizes updates the peak size of each locality. If a zone loses all servers except one in slow
// start, the zone must not be mistaken for a small one: the remaining server would get too much work.
func (s *endpointSet) updatePeakSizes() {
	var size [localityCount]float64
	for _, target := range s.sorted {
		size[target.locality] += target.Size
	}
	for i := range s.peakSize {
		s.peakSize[i] = max(s.peakSize[i], size[i])
	}
}

// exclude stops new requests to a server, listed or not. It returns the server, or nil if it is not listed.
func (s *endpointSet) exclude(id ServerID) *server {
	s.excluded[id] = true
	target := s.byID[id]
	if target != nil {
		target.excluded = true
	}
	return target
}

// include ends the exclusion of a server. It returns the server, or nil if it is not listed.
func (s *endpointSet) include(id ServerID) *server {
	delete(s.excluded, id)
	target := s.byID[id]
	if target != nil {
		target.excluded = false
	}
	return target
}

// server is a listed server, with what this balancer knows about it.
type server struct {
	Endpoint
	excluded       bool   // by operators
	idHash         uint64 // hash of the ID, for slow start draws
	locality       locality
	spillRank      float64       // random in [0, 1), for the spill limit and the slow start draws
	path           *latency.Path // network path to its zone
	member         lanes.Member  // of its locality's group
	inflight       int           // this balancer's attempts in flight
	backlog        float64       // expected work of the attempts in flight, ms
	latency        latency.Server
	reports        loadreport.Reports // its load reports, which count all balancers' requests
	lastResponseAt time.Duration      // clock time of its last response to any request
	classFailures  classfailure.Shares
	slowStart      slowstart.Progress
	outlier        outlier.Monitor // its failures and ejections
}

// warm reports whether the server has its full capacity: it is not in slow start.
func (target *server) warm() bool { return target.slowStart.Warm() }

// attemptStarted counts an attempt that is sent to the server, with its expected work in ms.
func (target *server) attemptStarted(work float64) {
	target.inflight++
	target.backlog += work
}

// attemptEnded removes an attempt, and its expected work in ms, from the counts.
func (target *server) attemptEnded(work float64) {
	target.inflight--
	target.backlog = max(target.backlog-work, 0)
}

// available reports whether the list and the operators allow new requests to the server.
func (target *server) available() bool { return target.State == Ready && !target.excluded }
