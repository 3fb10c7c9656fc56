package runtime

import (
	"log/slog"
	"os"
	"time"

	"piernotch/internal/serve/handover"
)

const (
	// siblingPollInterval is the time between two reads of the sibling processes' records.
	siblingPollInterval = 25 * time.Millisecond
	// recordInterval is the age at which this process's record is written again: the estimates and the
	// endpoint list in the record change all the time.
	recordInterval = time.Second
)

// siblingProcesses holds the states of this process and its siblings: the other processes of the same
// balancer, which share a listening socket during a handover and exchange records in a directory.
// Without a directory there are no siblings.
//
// It does not depend on its owner, the Balancer, which asks it what follows from the states, such as
// whether to accept clients; see handover.go.
type siblingProcesses struct {
	directory     *handover.Directory // nil: none is configured
	self          handover.ProcessState
	others        []handover.ProcessState // live siblings whose records could be read
	alone         bool                    // no sibling is alive
	polled        time.Duration           // when poll last read the siblings' records
	recordWritten time.Duration           // when this process's record was last written
}

// enterSiblings announces this process to its siblings in stateDir, returns their records, and sets this
// process's epoch above theirs. If stateDir is "", there are no siblings.
func enterSiblings(stateDir, balancerName string) (siblingProcesses, []handover.Peer, error) {
	siblings := siblingProcesses{
		self:  handover.ProcessState{Epoch: 1, PID: os.Getpid(), Phase: handover.Starting},
		alone: true,
	}
	if stateDir == "" {
		return siblings, nil, nil
	}
	directory, err := handover.Enter(stateDir, balancerName)
	if err != nil {
		return siblings, nil, err
	}
	siblings.directory = directory
	peers, _ := siblings.read() // the next poll finds siblings that could not be read
	for i := range peers {
		siblings.self.Epoch = max(siblings.self.Epoch, peers[i].Epoch+1)
	}
	return siblings, peers, nil
}

// read returns the siblings' records. It logs the error and returns false if the directory cannot be read.
func (s *siblingProcesses) read() (peers []handover.Peer, valid bool) {
	peers, err := s.directory.Peers()
	if err != nil {
		slog.Warn("sibling processes unreadable", "err", err)
	}
	return peers, err == nil
}

// poll reads the siblings' records if there is a directory and siblingPollInterval has passed since the
// last poll. updated reports whether poll has read them. If the directory cannot be read, what was known of
// the siblings stays in force.
func (s *siblingProcesses) poll(now time.Duration) (peers []handover.Peer, updated bool) {
	if s.directory == nil || now-s.polled < siblingPollInterval {
		return nil, false
	}
	s.polled = now
	return s.read()
}

// update stores the states of the live siblings. It logs when the first appears or the last is gone.
func (s *siblingProcesses) update(peers []handover.Peer) {
	s.others = s.others[:0]
	alone := true
	for i := range peers {
		peer := &peers[i]
		if !peer.Alive {
			continue
		}
		alone = false
		if peer.Err == nil {
			s.others = append(s.others, peer.ProcessState)
		}
	}
	if alone != s.alone {
		s.alone = alone
		slog.Info("sibling processes changed", "others", len(s.others), "pid", s.self.PID, "epoch", s.self.Epoch)
	}
}

// advance sets the phase of this process and reports whether the phase changed. ShuttingDown is final.
func (s *siblingProcesses) advance(to handover.Phase) bool {
	if s.self.Phase == to || s.self.Phase == handover.ShuttingDown {
		return false
	}
	s.self.Phase = to
	slog.Info("process phase changed", "phase", to, "pid", s.self.PID, "epoch", s.self.Epoch)
	return true
}

// accepts reports whether this process should accept clients, given the siblings' states.
func (s *siblingProcesses) accepts() bool { return s.self.Accepts(s.others) }

// hasSuccessor reports whether a sibling can serve in place of this process.
func (s *siblingProcesses) hasSuccessor() bool { return s.self.HasSuccessor(s.others) }

// recordDue reports whether there is a directory and this process's last write was at least
// recordInterval ago.
func (s *siblingProcesses) recordDue(now time.Duration) bool {
	return s.directory != nil && now-s.recordWritten >= recordInterval
}

// write publishes this process's record to siblings and successors. There must be a directory.
func (s *siblingProcesses) write(record handover.Record) {
	s.recordWritten = record.WrittenAt
	if err := s.directory.Write(record); err != nil {
		slog.Error("handover record write failed", "err", err)
	}
}

// leave releases the lock by which the siblings see that this process is alive.
func (s *siblingProcesses) leave() {
	if s.directory != nil {
		s.directory.Leave()
	}
}
