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
	"piernotch/internal/group"
	"piernotch/internal/group/watch"
	"piernotch/internal/lab/faultproxy"
)

// sharedWatch is one watch of discovery for all balancers, by a group of three voters.
type sharedWatch struct {
	groupFiles []string // of the balancers
	voters     []*exec.Cmd
	balancers  int

	mu            sync.Mutex
	notifications map[[2]int]int // how often a balancer was told of a server
}

// sharedLeaseDuration is how long the duty stands without a renewal.
const sharedLeaseDuration = 2 * time.Second

// sharedNotifyTimeout is by when what one balancer was told counts as told to all: by then each has heard it or
// asks itself.
var sharedNotifyTimeout = watch.DefaultTiming.HeartbeatTimeout + watch.DefaultTiming.TimeoutJitter + 500*time.Millisecond

func startSharedWatch(opts Options, balancers int) (*sharedWatch, error) {
	s := &sharedWatch{balancers: balancers, notifications: map[[2]int]int{}}
	c := group.Config{Name: "rehearsal", LeaseDuration: sharedLeaseDuration, MaxClockDrift: 0.01}
	for i := range 3 {
		address, err := faultproxy.Free()
		if err != nil {
			return nil, err
		}
		c.Voters = append(c.Voters, group.Voter{Name: fmt.Sprintf("v%d", i), Address: address})
	}
	write := func(c group.Config) (string, error) {
		name := filepath.Join(opts.LogDir, c.Self+"-group.toml")
		return name, os.WriteFile(name, []byte(c.Text()), 0o600)
	}
	for _, v := range c.Voters {
		own := c
		own.Self, own.Disk = v.Name, filepath.Join(opts.LogDir, v.Name+".voter")
		_ = os.Remove(own.Disk) // of an earlier rehearsal
		file, err := write(own)
		if err != nil {
			return nil, err
		}
		log, err := os.Create(filepath.Join(opts.LogDir, v.Name+".log"))
		if err != nil {
			return nil, err
		}
		cmd := exec.Command(opts.VoterProgram, "--group", file)
		cmd.Stdout, cmd.Stderr = log, log
		err = cmd.Start()
		_ = log.Close()
		if err != nil {
			s.stop()
			return nil, err
		}
		s.voters = append(s.voters, cmd)
	}
	for i := range balancers {
		own := c
		own.Self, own.Watch, own.Source = fmt.Sprintf("n%d", i), "watch", "roster"
		file, err := write(own)
		if err != nil {
			s.stop()
			return nil, err
		}
		s.groupFiles = append(s.groupFiles, file)
	}
	return s, nil
}

func (s *sharedWatch) stop() {
	for _, v := range s.voters {
		_ = v.Process.Signal(syscall.SIGKILL)
		_ = v.Wait()
	}
}

// endpointNotified has the judge hear what a balancer was told, for all that share its watch. That a server is ready
// counts at once, for whoever hears of it may use it; that it leaves, when all must have heard.
func (s *sharedWatch) endpointNotified(r *environment, balancer, server int, state piernotch.State, born time.Duration) {
	tell := func(b int) {
		s.notifications[[2]int{b, server}]++
		r.observer.EndpointNotified(b, server, state, born)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	tell(balancer)
	for b := range s.balancers {
		if b == balancer {
			continue
		}
		if state == piernotch.Ready {
			tell(b)
			continue
		}
		before := s.notifications[[2]int{b, server}]
		time.AfterFunc(sharedNotifyTimeout, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.notifications[[2]int{b, server}] == before && !r.stopped.Load() { // it has not heard of a later state itself
				tell(b)
			}
		})
	}
}
