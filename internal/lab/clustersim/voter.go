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
	tickInterval = 100 * time.Millisecond // the consensus' tick
	minDiskSync  = 100 * time.Microsecond
	meanDiskSync = time.Millisecond // on top of the minimum; exponentially distributed
	slowDiskSync = 2 * time.Second
)

// voter is the process of a voter: the real consensus state machine on a simulated disk.
type voter struct {
	*process
	name         string
	disk         disk
	backups      []disk // the disk as it was at earlier starts
	stateMachine *consensus.StateMachine
	syncing      bool             // the disk is
	writing      *consensus.Ready // what the disk is syncing
	inbox        []func()         // what the state machine takes after that
	slowDisk     int              // how many faults slow the disk down
	responses    map[uint64]func(protocol.Response)
	lastKey      uint64 // of responses
}

func voterName(i int) string { return fmt.Sprintf("v%d", i) }

// started begins a new incarnation on the disk as it is.
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

// crashed interrupts a write: it is on the disk, or it is not.
func (v *voter) crashed() {
	if v.writing != nil && v.sim.rng.IntN(2) == 0 {
		v.disk.write(*v.writing)
	}
}

// loseDisk empties the disk, or replaces it by a backup.
func (v *voter) loseDisk(kind FaultKind) {
	if kind == FaultDiskRollback {
		v.disk = v.backups[v.sim.rng.IntN(len(v.backups))]
		return
	}
	steps.replaceLostDisk(v)
}

// newIdentity makes the disk that of another voter, which the group has to add.
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

// votes reports whether this voter's identity is among the voters, as far as it knows itself.
func (v *voter) votes() bool { return v.knowsVoter(v.disk.id) }

func (v *voter) knowsVoter(id protocol.VoterID) bool {
	return slices.ContainsFunc(v.stateMachine.Voters(), func(o protocol.Voter) bool { return o.ID == id })
}

// requestAddition sends some voter, which may lead, a request to add this one to the group.
func (v *voter) requestAddition() {
	request := protocol.Request{Kind: protocol.AddVoter, Voter: protocol.Voter{ID: v.disk.id, Name: v.name}}
	to := v.sim.processes[v.sim.rng.IntN(v.sim.size.Voters)]
	v.sim.send(v.id, to.id, func() { to.voter.propose(request, func(protocol.Response) {}) })
}

// submit hands something to the state machine, after the disk has what came before.
func (v *voter) submit(work func()) {
	if v.syncing {
		v.inbox = append(v.inbox, work)
		return
	}
	work()
	v.processReady()
}

// processReady does what the state machine has ready, until there is no more or the disk has to sync.
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

// sync writes work to the disk, which takes time, and goes on afterwards.
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

// written sends what may be sent once work is durable.
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
		if msg.To != v.disk.id { // this voter has got another identity meanwhile
			return
		}
		if err := steps.step(v, msg); err != nil && !errors.Is(err, consensus.ErrStaleStore) {
			v.sim.violation("%s: %v", v.name, err)
		}
	})
}

// propose handles a request that has arrived; respond gets the response, if there is one.
func (v *voter) propose(request protocol.Request, respond func(protocol.Response)) {
	v.submit(func() {
		v.lastKey++
		request.Key = v.lastKey
		v.responses[request.Key] = respond
		steps.propose(v, request)
	})
}

// sendResponses sends the state machine's responses, and notifies one client of each duty that came free.
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

// allDisksVote reports whether some leader counts the identity of every voter's disk among the voters. While a
// disk that was lost has not been replaced, losing another may lose the majority, which no group survives.
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
