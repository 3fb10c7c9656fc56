package piernotch

import (
	"cmp"
	"slices"

	"piernotch/internal/decision/latency"
)

// locality is where a server is, as seen from this balancer. There is a group of servers for each.
type locality int

// The localities.
const (
	localZone   locality = iota // the balancer's own zone
	remoteZones                 // all other zones
)

const localityCount = 2

// other returns the other locality.
func (l locality) other() locality { return remoteZones - l }

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
