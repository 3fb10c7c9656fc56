package clustersim

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"piernotch/internal/controlgroup/consensus"
	"piernotch/internal/controlgroup/lease"
	"piernotch/internal/controlgroup/protocol"
)

const (
	tickInterval = 100 * time.Millisecond // of the consensus state machine
	minDiskSync  = 100 * time.Microsecond
	meanDiskSync = time.Millisecond // mean of the exponentially distributed time added to minDiskSync
	slowDiskSync = 2 * time.Second  // duration of each sync during FaultSlowDisk
)

// voter runs the real consensus state machine on a simulated disk.
type voter struct {
	*process
	name         string
	disk         disk
	backups      []disk // copies of the disk at each start since the voter's ID was assigned
	stateMachine *consensus.StateMachine
	syncing      bool             // a write to the disk is in progress
	writing      *consensus.Ready // the write in progress; nil if there is none
	inbox        []func()         // work for the state machine after the write
	slowDisk     int              // number of faults that slow the disk down
	responses    map[uint64]func(protocol.Response)
	lastKey      uint64 // last key of a request
}

func voterName(i int) string { return fmt.Sprintf("v%d", i) }

// started backs up the disk, and starts a state machine from the disk's state.
func (v *voter) started() {
	v.backups = append(v.backups, v.disk)
	v.disk.startCount++
	v.syncing = false
	v.writing = nil
	v.inbox = nil
	v.responses = map[uint64]func(protocol.Response){}
	var err error
	v.stateMachine, err = steps.newStateMachine(consensus.Config{
		ID:          v.disk.id,
		Incarnation: lease.Incarnation(v.sim.rng.Uint64()),
		StartCount:  v.disk.startCount,
		Timing:      LeaseTiming,
		State:       v.disk.state,
	})
	if err != nil {
		v.sim.violation("%s does not start: %v", v.name, err)
		return
	}
	v.after(time.Duration(v.sim.rng.Int64N(int64(tickInterval))), v.tick)
}

// crashed completes a write in progress with a probability of 1/2, and loses it otherwise.
func (v *voter) crashed() {
	if v.writing != nil && v.sim.rng.IntN(2) == 0 {
		v.disk.write(*v.writing)
	}
}

// loseDisk replaces the disk by a random backup for FaultDiskRollback, and by an empty disk otherwise.
func (v *voter) loseDisk(kind FaultKind) {
	if kind == FaultDiskRollback {
		v.disk = v.backups[v.sim.rng.IntN(len(v.backups))]
		return
	}
	steps.replaceLostDisk(v)
}

// newIdentity replaces the disk by an empty one with a new ID, and drops the backups. The group has to add the new ID
// as a voter.
func (v *voter) newIdentity() {
	v.sim.lastVoterID++
	v.disk = disk{id: v.sim.lastVoterID}
	v.backups = nil
}

func (v *voter) tick() {
	v.after(tickInterval, v.tick)
	v.submit(func() { v.stateMachine.Tick(v.now()) })
	if v.stateMachine.Outdated() {
		v.stop()
		v.newIdentity()
		v.start()
		return
	}
	if !v.votes() && v.sim.rng.IntN(5) == 0 {
		v.requestAddition()
	}
}

// votes reports whether this voter's ID is among the voters that its own state machine knows.
func (v *voter) votes() bool { return v.knowsVoter(v.disk.id) }

func (v *voter) knowsVoter(id protocol.VoterID) bool {
	return slices.ContainsFunc(v.stateMachine.Voters(), func(o protocol.Voter) bool { return o.ID == id })
}

// requestAddition asks a random voter, not necessarily the leader, to add this voter to the group.
func (v *voter) requestAddition() {
	request := protocol.Request{Kind: protocol.AddVoter, Voter: protocol.Voter{ID: v.disk.id, Name: v.name}}
	to := v.sim.processes[v.sim.rng.IntN(v.sim.size.Voters)]
	v.sim.send(v.id, to.id, func() { to.voter.propose(request, func(protocol.Response) {}) })
}

// submit runs work on the state machine and handles what becomes ready. During a write, work waits in the inbox.
func (v *voter) submit(work func()) {
	if v.syncing {
		v.inbox = append(v.inbox, work)
		return
	}
	work()
	v.processReady()
}

// processReady handles what the state machine has ready until a write starts. If nothing is left, processReady sends
// the responses.
func (v *voter) processReady() {
	for {
		work, ready := v.stateMachine.Ready()
		if !ready {
			v.sendResponses()
			return
		}
		if !work.Empty() {
			steps.writeAndSend(v, work)
			return
		}
		v.written(work)
	}
}

// sync starts a write to the disk. When the write is complete, the voter sends the messages of work, advances the state
// machine and runs the inbox until the next write.
func (v *voter) sync(work consensus.Ready) {
	v.syncing = true
	v.writing = &work
	duration := minDiskSync + time.Duration(v.sim.rng.ExpFloat64()*float64(meanDiskSync))
	if v.slowDisk > 0 {
		duration = slowDiskSync
	}
	v.after(duration, func() {
		v.syncing = false
		v.writing = nil
		v.disk.write(work)
		v.written(work)
		v.processReady()
		for len(v.inbox) > 0 && !v.syncing {
			next := v.inbox[0]
			v.inbox = v.inbox[1:]
			next()
			v.processReady()
		}
	})
}

// written sends the messages of work that is now durable, and advances the state machine.
func (v *voter) written(work consensus.Ready) {
	v.sendMessages(work)
	if err := v.stateMachine.Advance(v.now(), work); err != nil {
		v.sim.violation("%s: %v", v.name, err)
	}
}

func (v *voter) sendMessages(work consensus.Ready) {
	for _, msg := range work.Messages {
		for _, receiver := range v.sim.voters() {
			if receiver.voter.disk.id == msg.To {
				v.sim.send(v.id, receiver.id, func() { receiver.voter.receiveMessage(msg) })
			}
		}
	}
}

func (v *voter) receiveMessage(msg consensus.Message) {
	v.submit(func() {
		if msg.To != v.disk.id { // this voter has got a new ID meanwhile
			return
		}
		if err := steps.step(v, msg); err != nil && !errors.Is(err, consensus.ErrStaleStore) {
			v.sim.violation("%s: %v", v.name, err)
		}
	})
}

// propose passes an incoming request to the state machine. respond is called with the response, if any.
func (v *voter) propose(request protocol.Request, respond func(protocol.Response)) {
	v.submit(func() {
		v.lastKey++
		request.Key = v.lastKey
		v.responses[request.Key] = respond
		steps.propose(v, request)
	})
}

// sendResponses notifies one random client for each duty that came free, and sends the state machine's responses.
func (v *voter) sendResponses() {
	for _, freed := range v.stateMachine.FreedDuties() {
		to := v.sim.processes[v.sim.size.Voters+v.sim.rng.IntN(v.sim.size.Clients)]
		v.sim.send(v.id, to.id, func() { to.client.retryNow(freed) })
	}
	for _, response := range v.stateMachine.Responses() {
		if respond := v.responses[response.Key]; respond != nil {
			delete(v.responses, response.Key)
			respond(response)
		}
	}
}

// allDisksVote reports whether some leader counts every disk's ID among the voters. If a second disk is lost
// before the group has replaced the first, the group may lose its majority for good.
func (s *simulation) allDisksVote() bool {
	return slices.ContainsFunc(s.voters(), func(process *process) bool {
		if !process.up || !process.voter.stateMachine.IsLeader() {
			return false
		}
		knowsAll := true
		for _, other := range s.voters() {
			knowsAll = knowsAll && process.voter.knowsVoter(other.voter.disk.id)
		}
		return knowsAll
	})
}
