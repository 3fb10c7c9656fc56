// Package consensus is the replicated state machine of the control group: three or five voters that
// agree on which process holds which duty. Agreement itself is left to go.etcd.io/raft, with pre-vote and
// check-quorum on; this package adds what is replicated (a lease table and the list of voters), the
// checks around it, and the file in which a voter keeps its part.
//
// # Shape
//
// [StateMachine] is pure, as etcd's raft.RawNode is: it does no input or output, starts no goroutine and reads
// no clock. Messages, client requests and ticks go in; what has to be done outside comes out:
//
//	for each event {
//		stateMachine.Step(message) | stateMachine.Propose(now, request) | stateMachine.Tick(now)
//		for ready, any := stateMachine.Ready(); any; ready, any = stateMachine.Ready() {
//			store.Write(ready)          // durable before anything is sent
//			send(ready.Messages)
//			stateMachine.Advance(now, ready) // applies what was committed
//		}
//		answer(stateMachine.Responses())
//		notify(stateMachine.FreedDuties())
//	}
//
// The caller owns the disk, the network, the clock and the one goroutine that may use a StateMachine, so the
// same code runs in service (package voter, with [Store] as the disk) and under thousands of seeds in
// simulated time (package clustersim). It must not know connections, configuration files or the
// balancer.
//
// # Commands
//
// [StateMachine.Propose] at the leader appends a lease command to the log, together with the proposer's
// incarnation and a sequence number. When the entry is committed, [StateMachine.Advance] applies it to the lease
// table of every voter; the voter that proposed it recognises both numbers and answers the request. A
// voter that loses leadership answers all it has pending with protocol.ErrOutcomeUnknown, since its entries may
// still be committed. Proposals are never forwarded to another leader: one that arrived late could end a
// lease which the new leader had renewed.
//
// # Lease expiry
//
// The table holds no time. The leader alone runs a lease.ExpiryClock, started when the first entry of its own
// term is applied: everything earlier leaders committed is in the table by then. [StateMachine.IsLeader] and
// every answer depend on that clock, not on raft's role alone. Each tick proposes Expire commands for the
// leases that were not renewed. A new leader's clock counts from when it starts, because its predecessor may
// have renewed a lease a moment ago.
//
// # Reads and renewals
//
// A read, a renewal, and a command which the table shows to be pointless (Acquire of a duty that another
// process holds) add nothing to the log. They wait for a raft ReadIndex: a majority confirms that this voter
// was still the leader after the request arrived, and the request is served from the table once everything
// committed before the confirmation is applied. Requests that arrive together share one confirmation.
//
// # Membership
//
// A voter is identified by the number drawn when its store was created, never by its name. AddVoter replaces
// a voter of the same name, in two configuration changes that are proposed one at a time: the old number is
// removed, if the leader has not heard from it of late, and on the next request the new one is added. The
// requester repeats AddVoter until it is a voter.
//
// # Store admission
//
// A store restored from an older copy could vote twice in one term, or have forgotten entries that it
// acknowledged. Each voter therefore announces its incarnation, term, vote and last index before it takes part.
// The others compare the announcement with what they have received from that voter, and accept or
// reject it. Its raft node handles nothing until a majority (itself included) accepted; one rejection makes
// the state machine [StateMachine.Outdated], and the caller has to quarantine the store. The same happens when a
// leader's heartbeat names a commit index beyond this store's log.
//
// # Compaction
//
// Every compactionInterval applied entries, and after each change of the voters, the log is replaced by a
// snapshot of the table and the voters. A voter that fell behind, or that joins empty, receives that
// snapshot from the leader instead of entries.
package consensus
