package clustersim

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"piernotch/internal/controlgroup/consensus"
	"piernotch/internal/controlgroup/protocol"
)

const (
	tickInterval = 100 * time.Millisecond // the consensus' tick
	minDiskSync  = 100 * time.Microsecond
	meanDiskSync = time.Millisecond // on top of the minimum; exponentially distributed
	slowDiskSync = 2 * time.Second
)

// voter is the process of a voter: the real consensus machine on a simulated disk.
type voter struct {
	*node
	name      string
	disk      disk
	backups   []disk // the disk as it was at earlier starts
	machine   *consensus.Machine
	syncing   bool             // the disk is
	writing   *consensus.Ready // what the disk is syncing
	inbox     []func()         // what the machine takes after that
	slowDisk  int              // how many faults slow the disk down
	responses map[uint64]func(protocol.Response)
	lastKey   uint64 // of responses
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
	v.machine, err = steps.newMachine(consensus.Config{
		ID:          v.disk.id,
		Incarnation: v.sim.rng.Uint64(),
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
	v.submit(func() { v.machine.Tick(v.now()) })
	if v.machine.Outdated() {
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

func (v *voter) knowsVoter(id uint64) bool {
	return slices.ContainsFunc(v.machine.Voters(), func(o protocol.Voter) bool { return o.ID == id })
}

// requestAddition asks some voter, which may lead, to add this one to the group.
func (v *voter) requestAddition() {
	request := protocol.Request{Kind: protocol.AddVoter, Voter: protocol.Voter{ID: v.disk.id, Name: v.name}}
	to := v.sim.nodes[v.sim.rng.IntN(v.sim.size.Voters)]
	v.sim.send(v.id, to.id, func() { to.voter.propose(request, func(protocol.Response) {}) })
}

// submit hands something to the machine, after the disk has what came before.
func (v *voter) submit(work func()) {
	if v.syncing {
		v.inbox = append(v.inbox, work)
		return
	}
	work()
	v.processReady()
}

// processReady does what the machine has ready, until there is no more or the disk has to sync.
func (v *voter) processReady() {
	for {
		work, ready := v.machine.Ready()
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
	d := minDiskSync + time.Duration(v.sim.rng.ExpFloat64()*float64(meanDiskSync))
	if v.slowDisk > 0 {
		d = slowDiskSync
	}
	v.after(d, func() {
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
	if err := v.machine.Advance(v.now(), work); err != nil {
		v.sim.violation("%s: %v", v.name, err)
	}
}

func (v *voter) sendMessages(work consensus.Ready) {
	for _, msg := range work.Messages {
		for _, n := range v.sim.voters() {
			if n.voter.disk.id == msg.To {
				v.sim.send(v.id, n.id, func() { n.voter.receiveMessage(msg) })
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

// sendResponses sends what the machine has answered, and notifies one member of each duty that came free.
func (v *voter) sendResponses() {
	for _, d := range v.machine.FreedDuties() {
		to := v.sim.nodes[v.sim.size.Voters+v.sim.rng.IntN(v.sim.size.Clients)]
		v.sim.send(v.id, to.id, func() { to.member.retryNow(d) })
	}
	for _, r := range v.machine.Responses() {
		if respond := v.responses[r.Key]; respond != nil {
			delete(v.responses, r.Key)
			respond(r)
		}
	}
}

// allDisksVote reports whether some leader counts the identity of every voter's disk among the voters. While a
// disk that was lost has not been replaced, losing another may lose the majority, which no group survives.
func (s *simulation) allDisksVote() bool {
	return slices.ContainsFunc(s.voters(), func(n *node) bool {
		if !n.up || !n.voter.machine.IsLeader() {
			return false
		}
		unknown := func(o *node) bool { return !n.voter.knowsVoter(o.voter.disk.id) }
		return !slices.ContainsFunc(s.voters(), unknown)
	})
}
