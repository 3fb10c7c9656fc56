// Package consensus is the replicated state machine of the control group: usually three or five voters that
// agree on which process holds which duty. Package go.etcd.io/raft provides the agreement, with pre-vote and
// check-quorum on. This package adds the replicated data (a lease table and the list of voters), checks on
// messages and stored state, and the file in which a voter stores its state.
//
// # Shape
//
// [StateMachine] is pure, as etcd's raft.RawNode is: it does no input or output, starts no goroutine and reads
// no clock. Its inputs are messages, client requests and ticks; its outputs are the writes, messages and
// responses that the caller has to carry out:
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
// simulated time (package clustersim). The package must not depend on connections, configuration files or the
// balancer.
//
// # Commands
//
// [StateMachine.Propose] at the leader appends a lease command to the log, together with the proposer's
// incarnation and a sequence number. When the entry is committed, [StateMachine.Advance] applies it to the lease
// table of every voter. The voter that proposed it recognizes the incarnation and sequence number, and responds
// to the request. A voter that loses leadership responds to its pending proposals with
// protocol.ErrOutcomeUnknown, since their entries may still be committed. Proposals are never forwarded to
// another leader: a late proposal could end a lease that the new leader has renewed.
//
// # Lease expiry
//
// The lease table stores no times. Only the leader runs a lease.ExpiryClock. It starts the clock when it applies the
// first entry of its own term: the table then holds everything that earlier leaders committed.
// [StateMachine.IsLeader] and every response depend on that clock, not on raft's role alone. Each tick proposes
// Expire commands for the leases that were not renewed. A new leader gives every lease a full lease duration,
// because its predecessor may have renewed the lease a moment ago.
//
// # Reads and renewals
//
// Reads, renewals, and commands that the table shows to be futile (Acquire of a duty that another process
// holds) add nothing to the log. They wait for a raft ReadIndex, by which a majority confirms that this voter
// was still the leader after the request arrived. The request is served from the table when all entries
// that were committed before that ReadIndex are applied. Requests that arrive together share one ReadIndex.
//
// # Membership
//
// A voter is identified by the ID drawn when its store was created, never by its name. AddVoter replaces
// a voter of the same name by two configuration changes, proposed one at a time. The first removes the old ID,
// unless the leader has heard from it since raft's last quorum check; the next request adds the new ID. The
// requester repeats AddVoter until it is a voter.
//
// # Store admission
//
// A voter whose store was restored from an older copy could vote twice in one term, or lack entries that it
// has acknowledged. Each voter therefore announces its incarnation, term, vote and last index before it takes
// part. The others compare the announcement with the messages that they have received from that voter, and
// accept or reject it. The announcing voter's raft node handles no message until a majority, the voter included,
// has accepted. One rejection before that makes the state machine [StateMachine.Outdated], and the caller has to
// quarantine the store. The same happens when a leader's heartbeat names a commit index beyond the store's log.
//
// # Compaction
//
// Every compactionInterval applied entries, and after each change of the voters, the log is replaced by a
// snapshot of the table and the voters. A voter that fell behind, or that joins with an empty store, receives
// that snapshot from the leader instead of entries.
package consensus
