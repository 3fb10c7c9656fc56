package loadtest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"piernotch"
	"piernotch/internal/controlgroup"
	"piernotch/internal/controlgroup/watch"
	"piernotch/internal/lab/faultproxy"
)

const (
	sharedWatchVoters = 3
	// sharedLeaseDuration is how long the lease of the watch lasts without a renewal.
	sharedLeaseDuration = 2 * time.Second
	// sharedClockDrift is the most that the clocks of the group drift apart, as a share.
	sharedClockDrift = 0.01
)

// sharedNotifyTimeout is the time after which what one balancer was notified of counts as known to all:
// by then each has been notified by the group, or watches discovery itself.
var sharedNotifyTimeout = watch.DefaultTiming.HeartbeatTimeout + watch.DefaultTiming.TimeoutJitter + 500*time.Millisecond

// sharedWatch is one watch of discovery for all balancers, through a group of voters.
type sharedWatch struct {
	groupFiles []string // by balancer
	voters     []*exec.Cmd
	balancers  int

	mu            sync.Mutex
	notifications map[endpointKey]int // how often a balancer was notified of a server
}

type endpointKey struct{ balancer, server int }

// notification is that discovery has written a server's state to a balancer.
type notification struct {
	balancer  int
	server    int
	state     piernotch.State
	startedAt time.Duration
}

// startSharedWatch starts the voters and writes the group's files of all. The caller calls stop.
func startSharedWatch(opts Options, balancers int) (*sharedWatch, error) {
	s := &sharedWatch{balancers: balancers, notifications: map[endpointKey]int{}}
	c := controlgroup.Config{Name: "rehearsal", LeaseDuration: sharedLeaseDuration, MaxClockDrift: sharedClockDrift}
	for i := range sharedWatchVoters {
		address, err := faultproxy.FreeAddress()
		if err != nil {
			return nil, err
		}
		c.Voters = append(c.Voters, controlgroup.Voter{Name: fmt.Sprintf("v%d", i), Address: address})
	}
	for _, v := range c.Voters {
		own := c
		own.Self = v.Name
		own.StorePath = filepath.Join(opts.LogDir, v.Name+".voter")
		if err := s.startVoter(opts, own); err != nil {
			s.stop()
			return nil, err
		}
	}
	for i := range balancers {
		own := c
		own.Self = fmt.Sprintf("n%d", i)
		own.WatchDuty = "watch"
		own.DiscoveryName = "roster"
		file, err := writeGroupFile(opts, own)
		if err != nil {
			s.stop()
			return nil, err
		}
		s.groupFiles = append(s.groupFiles, file)
	}
	return s, nil
}

// startVoter starts one voter on an empty disk.
func (s *sharedWatch) startVoter(opts Options, c controlgroup.Config) error {
	_ = os.Remove(c.StorePath) // of an earlier run, if there is one
	file, err := writeGroupFile(opts, c)
	if err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(opts.LogDir, c.Self+".log"))
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the voter has its own
	cmd := exec.Command(opts.VoterProgram, "--group", file)
	cmd.Stdout = log
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return err
	}
	s.voters = append(s.voters, cmd)
	return nil
}

func writeGroupFile(opts Options, c controlgroup.Config) (string, error) {
	name := filepath.Join(opts.LogDir, c.Self+"-group.toml")
	return name, os.WriteFile(name, []byte(c.TOML()), 0o600)
}

// stop kills the voters.
func (s *sharedWatch) stop() {
	for _, v := range s.voters {
		_ = v.Process.Signal(syscall.SIGKILL)
		_ = v.Wait()
	}
}

// endpointNotified notifies the observer for all balancers that share the watch. That a server is ready
// counts at once, because each balancer that learns it may use the server; that it leaves, when all must
// have learnt it.
func (s *sharedWatch) endpointNotified(e *environment, n notification) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notifyLocked(e, n)
	for balancer := range s.balancers {
		if balancer == n.balancer {
			continue
		}
		other := n
		other.balancer = balancer
		if n.state == piernotch.Ready {
			s.notifyLocked(e, other)
			continue
		}
		key := endpointKey{balancer, n.server}
		before := s.notifications[key]
		time.AfterFunc(sharedNotifyTimeout, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			newer := s.notifications[key] != before // it was notified of a later state itself
			if !newer && !e.stopped.Load() {
				s.notifyLocked(e, other)
			}
		})
	}
}

// notifyLocked notifies the observer for one balancer. The lock is held.
func (s *sharedWatch) notifyLocked(e *environment, n notification) {
	s.notifications[endpointKey{n.balancer, n.server}]++
	e.observer.EndpointNotified(n.balancer, n.server, n.state, n.startedAt)
}
