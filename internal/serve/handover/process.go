package handover

// Phase is a stage in the life of a process. Its text is stored in records.
type Phase string

// Phases of a process, in order.
const (
	// Starting means that the process cannot serve yet.
	Starting Phase = "starting"
	// Ready means that the process can serve.
	Ready Phase = "ready"
	// ShuttingDown means that the process was asked to end and is completing its pending requests.
	ShuttingDown Phase = "ending"
)

// ProcessState is the part of a record that determines which process accepts clients and how the
// processes divide the file descriptors.
type ProcessState struct {
	Epoch           uint64 `json:"epoch"` // higher than the epoch of each process found when this one started
	PID             int    `json:"pid"`
	Phase           Phase  `json:"phase"`
	DescriptorClaim int    `json:"claim"` // file descriptors that the other processes leave to this one
}

// newerThan reports whether s started after other. If both started at the same time, their epochs may be
// equal, and the higher process ID counts as newer.
func (s ProcessState) newerThan(other ProcessState) bool {
	if s.Epoch != other.Epoch {
		return s.Epoch > other.Epoch
	}
	return s.PID > other.PID
}

// Accepts reports whether a process accepts clients, given the other live processes. The newest ready
// process does. If no process is ready, those that are shutting down continue to accept.
func (s ProcessState) Accepts(others []ProcessState) bool {
	for _, other := range others {
		if other.Phase == Ready && (s.Phase != Ready || other.newerThan(s)) {
			return false
		}
	}
	return s.Phase != Starting
}

// descriptorHeadroom is how many further file descriptors a process may open while another process
// accepts clients. The accepting process may use at least this many in all.
const descriptorHeadroom = 16

// DescriptorShare returns how many file descriptors this process may use, given the other live
// processes. limit applies to all of them together; open is what this process holds. The process that
// accepts clients needs the most and gets what the others do not claim. Each of the others claims little
// more than it holds, and at most half of limit.
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

// HasSuccessor reports whether one of the other live processes can serve in place of this one.
func (s ProcessState) HasSuccessor(others []ProcessState) bool {
	for _, other := range others {
		if other.Phase == Ready {
			return true
		}
	}
	return false
}
