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

// locality is where a server is, as seen from this balancer. There is a group of servers for each.
type locality int

// The localities.
const (
	localZone   locality = iota // the balancer's own zone
	remoteZones                 // all other zones
)

const localityCount = 2

// endpointSet owns which servers there are: what the endpoint list says, what operators exclude, and what
// follows from both for a group of servers. Its methods are the only ones that change it.
type endpointSet struct {
	ownZone  int
	byID     map[ServerID]*server
	sorted   []*server             // by id
	excluded map[ServerID]bool     // by operators, listed or not
	paths    map[int]*latency.Path // by zone
	fullSize [localityCount]float64
}

func newEndpointSet(ownZone int) endpointSet {
	return endpointSet{
		ownZone: ownZone, byID: map[ServerID]*server{}, excluded: map[ServerID]bool{},
		paths: map[int]*latency.Path{},
	}
}

// find returns the listed server of that id, or nil.
func (s *endpointSet) find(id ServerID) *server { return s.byID[id] }

// add adds a server that is new in the list. Until settle it stands last.
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

// update takes the new entry of a listed server, and reports whether its process is a new one.
func (s *endpointSet) update(target *server, entry Endpoint) (restarted bool) {
	restarted = entry.StartedAt != target.StartedAt
	target.Endpoint = entry
	return restarted
}

// markGone marks the servers that a full list does not name.
func (s *endpointSet) markGone(named map[ServerID]bool) {
	for _, target := range s.sorted {
		if !named[target.ID] {
			target.State = Gone
		}
	}
}

// settle drops the servers that are gone and sorts the others. It ends each update of the list.
func (s *endpointSet) settle() {
	s.sorted = slices.DeleteFunc(s.sorted, func(target *server) bool {
		if target.State != Gone {
			return false
		}
		delete(s.byID, target.ID)
		return true
	})
	s.updateFullSizes()
	slices.SortFunc(s.sorted, func(x, y *server) int { return cmp.Compare(x.ID, y.ID) })
}

// updateFullSizes keeps the greatest sum of sizes that each locality had: a zone of which only one server
// in slow start is left must not be taken for a small zone.
func (s *endpointSet) updateFullSizes() {
	var size [localityCount]float64
	for _, target := range s.sorted {
		size[target.locality] += target.Size
	}
	for i := range s.fullSize {
		s.fullSize[i] = max(s.fullSize[i], size[i])
	}
}

// exclude keeps requests from the server, listed or not, and returns it, or nil if it is not listed.
func (s *endpointSet) exclude(id ServerID) *server {
	s.excluded[id] = true
	target := s.byID[id]
	if target != nil {
		target.excluded = true
	}
	return target
}

// include ends an exclusion and returns the server, or nil if it is not listed.
func (s *endpointSet) include(id ServerID) *server {
	delete(s.excluded, id)
	target := s.byID[id]
	if target != nil {
		target.excluded = false
	}
	return target
}

// server is one listed server.
type server struct {
	Endpoint
	excluded       bool   // by operators
	idHash         uint64 // for rendezvous hashing and slow start draws
	locality       locality
	spillRank      float64       // random in [0, 1): shares out the spill of balancers
	path           *latency.Path // to its zone
	member         lanes.Member  // of its locality's group
	inflight       int           // this balancer's attempts
	backlog        float64       // work of these, ms
	latency        latency.Server
	reports        loadreport.Reports // by which it holds requests of other balancers
	lastResponseAt time.Duration      // when it last responded to anything
	classFailures  classfailure.Shares
	slowStart      slowstart.Progress
	outlier        outlier.Monitor // its failures and ejections
}

// warm reports whether the server is not in slow start.
func (target *server) warm() bool { return target.slowStart.Warm() }

// attemptStarted counts an attempt of so much work, in ms, that goes to the server.
func (target *server) attemptStarted(work float64) {
	target.inflight++
	target.backlog += work
}

// attemptEnded takes an attempt off what the server has of this balancer's.
func (target *server) attemptEnded(work float64) {
	target.inflight--
	target.backlog = max(target.backlog-work, 0)
}

// available reports whether the list and the operators allow new requests to the server.
func (target *server) available() bool { return target.State == Ready && !target.excluded }
