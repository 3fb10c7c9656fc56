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
	"piernotch/internal/lab/invariants"
)

const (
	sharedWatchVoters = 3
	// sharedLeaseDuration is how long the lease of the watch's duty is valid without renewal.
	sharedLeaseDuration = 2 * time.Second
	// sharedClockDrift is the largest relative error of any member's clock rate.
	sharedClockDrift = 0.01
)

// sharedNotifyTimeout is the time after which an endpoint update that discovery wrote to one balancer counts as known
// to all: by then each of the others has been notified by the group or watches discovery itself.
var sharedNotifyTimeout = watch.DefaultTiming.HeartbeatTimeout + watch.DefaultTiming.TimeoutJitter +
	500*time.Millisecond

// sharedWatch is a control group of voters through which all balancers share one watch of discovery.
type sharedWatch struct {
	groupFiles []string // indexed by balancer number
	voters     []*exec.Cmd
	balancers  int

	mu            sync.Mutex
	notifications map[endpointKey]int // how often a balancer was notified of a server
}

type endpointKey struct {
	balancer invariants.BalancerIndex
	server   invariants.ServerIndex
}

// notification says that a balancer was notified of a server's state.
type notification struct {
	balancer  invariants.BalancerIndex
	server    invariants.ServerIndex
	state     piernotch.State
	startedAt time.Duration // when the server's process started, since the run began; 0: before the run
}

// startSharedWatch starts the voters and writes the group files of all members. On success, the caller calls stop.
func startSharedWatch(opts Options, balancers int) (*sharedWatch, error) {
	shared := &sharedWatch{balancers: balancers, notifications: map[endpointKey]int{}}
	group := controlgroup.Config{Name: "loadtest", LeaseDuration: sharedLeaseDuration, MaxClockDrift: sharedClockDrift}
	for i := range sharedWatchVoters {
		address, err := faultproxy.FreeAddress()
		if err != nil {
			return nil, err
		}
		group.Voters = append(group.Voters, controlgroup.Voter{Name: fmt.Sprintf("v%d", i), Address: address})
	}
	for _, voter := range group.Voters {
		own := group
		own.Self = voter.Name
		own.StorePath = filepath.Join(opts.LogDir, voter.Name+".voter")
		if err := shared.startVoter(opts, own); err != nil {
			shared.stop()
			return nil, err
		}
	}
	for i := range balancers {
		own := group
		own.Self = fmt.Sprintf("n%d", i)
		own.WatchDuty = "watch"
		own.DiscoveryName = "discovery"
		file, err := writeGroupFile(opts, own)
		if err != nil {
			shared.stop()
			return nil, err
		}
		shared.groupFiles = append(shared.groupFiles, file)
	}
	return shared, nil
}

// startVoter starts a voter without a stored state.
func (s *sharedWatch) startVoter(opts Options, config controlgroup.Config) error {
	_ = os.Remove(config.StorePath) // a file of an earlier run may exist
	file, err := writeGroupFile(opts, config)
	if err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(opts.LogDir, config.Self+".log"))
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the voter has its own descriptor
	cmd := exec.Command(opts.VoterProgram, "--group", file)
	cmd.Stdout = log
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return err
	}
	s.voters = append(s.voters, cmd)
	return nil
}

func writeGroupFile(opts Options, config controlgroup.Config) (string, error) {
	name := filepath.Join(opts.LogDir, config.Self+"-group.toml")
	return name, os.WriteFile(name, []byte(config.TOML()), 0o600)
}

// stop kills the voters and waits for them.
func (s *sharedWatch) stop() {
	for _, voter := range s.voters {
		_ = voter.Process.Signal(syscall.SIGKILL)
		_ = voter.Wait()
	}
}

// endpointNotified notifies the observer for all balancers that share the watch. An update counts at once for the
// balancer that discovery wrote to. Ready counts at once for the other balancers, too: they may use the server once the
// group notifies them. Other states count for them after sharedNotifyTimeout, unless a newer update of the server
// counts by then or the run is over.
func (s *sharedWatch) endpointNotified(running *environment, received notification) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notifyLocked(running, received)
	for balancer := range invariants.BalancerIndex(s.balancers) {
		if balancer == received.balancer {
			continue
		}
		other := received
		other.balancer = balancer
		if received.state == piernotch.Ready {
			s.notifyLocked(running, other)
			continue
		}
		key := endpointKey{balancer: balancer, server: received.server}
		before := s.notifications[key]
		time.AfterFunc(sharedNotifyTimeout, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			newer := s.notifications[key] != before // a later update of the server already counts for this balancer
			if !newer && !running.stopped.Load() {
				s.notifyLocked(running, other)
			}
		})
	}
}

// notifyLocked notifies the observer for one balancer and counts the notification. The caller holds mu.
func (s *sharedWatch) notifyLocked(running *environment, received notification) {
	s.notifications[endpointKey{balancer: received.balancer, server: received.server}]++
	running.observer.EndpointNotified(received)
}
