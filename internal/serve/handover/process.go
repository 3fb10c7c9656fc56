package handover

// Phase is a stage of a process, from its start to its end.
type Phase string

// Phases, in their order.
const (
	// Starting means that the process cannot serve yet.
	Starting Phase = "starting"
	// Ready means that it can serve.
	Ready Phase = "ready"
	// ShuttingDown means that it was asked to end and completes its pending requests.
	ShuttingDown Phase = "ending"
)

// ProcessState is what the other processes of the balancer need to know of one to share the work.
type ProcessState struct {
	Epoch           uint64 `json:"epoch"` // above that of every other process found at the start
	PID             int    `json:"pid"`
	Phase           Phase  `json:"phase"`
	DescriptorClaim int    `json:"claim"` // file descriptors that it may come to hold
}

// newerThan reports whether s was started after other.
func (s ProcessState) newerThan(other ProcessState) bool {
	if s.Epoch != other.Epoch {
		return s.Epoch > other.Epoch
	}
	return s.PID > other.PID
}

// Accepts reports whether a process accepts clients, given the others that are alive: the newest of
// those that are ready does. A process that is shutting down leaves it to any that is ready, and
// continues to accept if there is none.
func (s ProcessState) Accepts(others []ProcessState) bool {
	for _, other := range others {
		if other.Phase == Ready && (s.Phase != Ready || other.newerThan(s)) {
			return false
		}
	}
	return s.Phase != Starting
}

// descriptorHeadroom is how many file descriptors a process may open beyond those that it holds
// while another one accepts clients.
const descriptorHeadroom = 16

// DescriptorShare returns how many of limit file descriptors a process that holds open of them may
// use, given the others that are alive. The process that accepts clients needs most: the others
// claim little more than they hold, and it gets whatever they do not claim.
func (s ProcessState) DescriptorShare(others []ProcessState, limit, open int) int {
	if len(others) == 0 {
		return limit
	}
	if !s.Accepts(others) {
		return min(open+descriptorHeadroom, limit/2)
	}
	for _, other := range others {
		limit -= other.DescriptorClaim
	}
	return max(limit, descriptorHeadroom)
}

// HasSuccessor reports whether one of the others that are alive can serve in this one's place.
func (s ProcessState) HasSuccessor(others []ProcessState) bool {
	for _, other := range others {
		if other.Phase == Ready {
			return true
		}
	}
	return false
}
