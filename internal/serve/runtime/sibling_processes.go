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
	// recordInterval is how old this process's own record may grow: the module's estimates and the
	// endpoint list, which it holds, change all the time.
	recordInterval = time.Second
)

// siblingProcesses is this process among others of the same balancer, which share a listening socket
// during a handover and exchange records in a directory. Without a directory there are no others.
//
// It knows the directory and the states of the processes, and nothing of the Balancer, which owns it,
// asks it what follows from these states, and acts on that; see handover.go.
type siblingProcesses struct {
	directory     *handover.Directory // nil: there is none
	self          handover.ProcessState
	others        []handover.ProcessState // that are alive and whose records could be read
	alone         bool                    // no other process is alive
	polled        time.Duration           // when the others' records were last read
	recordWritten time.Duration           // when the own record was last written
}

// enterSiblings makes this process known to its siblings in a directory, "" for none, and returns
// their records as well.
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
	peers := siblings.read()
	for i := range peers {
		siblings.self.Epoch = max(siblings.self.Epoch, peers[i].Epoch+1)
	}
	return siblings, peers, nil
}

// read returns the records of the other processes.
func (s *siblingProcesses) read() []handover.Peer {
	peers, err := s.directory.Peers()
	if err != nil {
		slog.Warn("sibling processes unreadable", "err", err)
	}
	return peers
}

// poll reads the others' records if it is time to. due reports whether they were read.
func (s *siblingProcesses) poll(now time.Duration) (peers []handover.Peer, due bool) {
	if s.directory == nil || now-s.polled < siblingPollInterval {
		return nil, false
	}
	s.polled = now
	return s.read(), true
}

// update notes which processes are alive, and their states.
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

// advance notes a new phase of this process, and reports whether it is one. None follows a shutdown.
func (s *siblingProcesses) advance(to handover.Phase) bool {
	if s.self.Phase == to || s.self.Phase == handover.ShuttingDown {
		return false
	}
	s.self.Phase = to
	slog.Info("process phase changed", "phase", to, "pid", s.self.PID, "epoch", s.self.Epoch)
	return true
}

// accepts reports whether this process is the one that accepts clients.
func (s *siblingProcesses) accepts() bool { return s.self.Accepts(s.others) }

// hasSuccessor reports whether another process can serve in this one's place.
func (s *siblingProcesses) hasSuccessor() bool { return s.self.HasSuccessor(s.others) }

// recordDue reports whether this process's record is old enough to be written again.
func (s *siblingProcesses) recordDue(now time.Duration) bool {
	return s.directory != nil && now-s.recordWritten >= recordInterval
}

// write writes this process's record for its siblings and successors. There must be a directory.
func (s *siblingProcesses) write(record handover.Record) {
	s.recordWritten = record.WrittenAt
	if err := s.directory.Write(record); err != nil {
		slog.Error("handover record write failed", "err", err)
	}
}

// leave lets the others know that this process has ended.
func (s *siblingProcesses) leave() {
	if s.directory != nil {
		s.directory.Leave()
	}
}
