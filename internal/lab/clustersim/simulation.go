package clustersim

import (
	"math/rand/v2"
	"time"

	"piernotch/internal/controlgroup/consensus"
	"piernotch/internal/controlgroup/lease"
	"piernotch/internal/controlgroup/protocol"
)

// LeaseTiming is the timing of the simulated group's leases: short, so that a run has many leases.
var LeaseTiming = lease.Timing{Duration: 3 * time.Second, MaxClockDrift: 0.01}

// Constants of the digest: FNV-1a with 64 bits, applied to integers instead of bytes.
const (
	digestOffset = 14695981039346656037
	digestPrime  = 1099511628211
)

// Result is the outcome of one run.
type Result struct {
	Seed        uint64   `json:"seed"`
	Violations  []string `json:"broken,omitempty"` // with their times, except for those of CheckLinearizability
	Faults      []Fault  `json:"faults,omitempty"` // the schedule; only after a violation
	Spans       []Span   `json:"-"`
	Acts        int      `json:"acts"`   // that receivers carried out, counted per receiver
	Fenced      int      `json:"fenced"` // acts that receivers rejected because of their token
	Calls       int      `json:"calls"`
	Grants      int      `json:"grants"` // tokens under which a receiver carried out an act
	UnheldShare float64  `json:"unheld"` // share of the run without a lease holder, the mean over the duties
	Digest      uint64   `json:"digest"` // hash of the time, token and client of all acts carried out
}

// simulation is the state of one run. It is not safe for concurrent use.
type simulation struct {
	size         Size
	rng          *rand.Rand
	now          time.Duration // true time
	events       eventQueue
	processes    []*process   // by processID
	cuts         map[link]int // number of faults that cut a link
	lossyNetwork int          // number of active faults that make the network lossy
	lastVoterID  protocol.VoterID

	result   Result
	digest   uint64
	actors   map[lease.Duty]map[lease.Token]processID // the client that acted under a token
	lastHeld map[lease.Duty]time.Duration
	calls    []Call
}

// simulate runs a seed with a schedule. The caller has seeded crypto/rand.Reader, from which raft draws.
func simulate(seed uint64, size Size, faults []Fault) Result {
	sim := newSimulation(seed, size)
	for _, started := range sim.processes {
		started.start()
	}
	for _, fault := range faults {
		sim.at(fault.At, func() { sim.inject(fault) })
	}
	sim.runEvents()
	if !sim.violated() {
		sim.checkEnd()
	}
	if sim.violated() {
		sim.result.Faults = faults
	}
	sim.result.Digest = sim.digest
	sim.result.Calls = len(sim.calls)
	return sim.result
}

func newSimulation(seed uint64, size Size) *simulation {
	sim := &simulation{
		size:     size,
		rng:      rand.New(rand.NewPCG(seed, 0x90de)),
		cuts:     map[link]int{},
		digest:   digestOffset,
		actors:   map[lease.Duty]map[lease.Token]processID{},
		lastHeld: map[lease.Duty]time.Duration{},
		result:   Result{Seed: seed},
	}
	var voters []protocol.Voter
	for i := range size.Voters {
		sim.lastVoterID++
		voters = append(voters, protocol.Voter{ID: sim.lastVoterID, Name: voterName(i)})
	}
	for i := range size.Voters + size.Clients + size.Receivers {
		added := &process{
			sim:       sim,
			id:        processID(i),
			up:        true,
			clockRate: 1 + (sim.rng.Float64()*2-1)*LeaseTiming.MaxClockDrift,
		}
		sim.processes = append(sim.processes, added)
		switch {
		case i < size.Voters:
			added.voter = &voter{
				process: added,
				name:    voters[i].Name,
				disk:    disk{id: voters[i].ID, state: consensus.Bootstrap(voters)},
			}
		case i < size.Voters+size.Clients:
			added.client = &client{process: added}
		}
	}
	return sim
}

// runEvents runs the events in order of time until size.Duration is reached or a violation is recorded.
func (s *simulation) runEvents() {
	for !s.events.empty() && s.now < s.size.Duration && !s.violated() {
		next := s.events.next()
		s.now = next.at
		next.do()
	}
}

func (s *simulation) violated() bool { return len(s.result.Violations) > 0 }

// at schedules a call of do at t, in true time.
func (s *simulation) at(t time.Duration, do func()) { s.events.schedule(t, do) }

func (s *simulation) voters() []*process { return s.processes[:s.size.Voters] }

func (s *simulation) clients() []*process {
	return s.processes[s.size.Voters : s.size.Voters+s.size.Clients]
}

func (s *simulation) receivers() []*process { return s.processes[s.size.Voters+s.size.Clients:] }
