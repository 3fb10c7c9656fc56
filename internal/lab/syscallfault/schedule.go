package syscallfault

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

// Call is a group of system calls that can fail.
type Call uint8

// The groups of calls.
const (
	Accept          Call = iota // accept4
	Socket                      // socket, of TCP
	Connect                     // connect
	SetSocketOption             // setsockopt
	Read                        // read
	Write                       // write
	PollWait                    // epoll_wait, epoll_pwait
	Duplicate                   // dup
	callCount
)

var callNames = [callCount]string{
	"accept", "socket", "connect", "setsockopt", "read", "write", "epoll_wait", "dup",
}

func (c Call) String() string {
	if c >= callCount {
		return fmt.Sprintf("call %d", uint8(c))
	}
	return callNames[c]
}

// Side selects connections by who opened them.
type Side uint8

// The sides. A socket that the process itself has connected is outgoing, every other one is incoming.
const (
	AnySide Side = iota
	Incoming
	Outgoing
)

// Fault makes a share of the calls of a group fail, or take longer, for some time. One of Error, OneByte and Delay is
// set.
type Fault struct {
	Call    Call
	Error   syscall.Errno // what the call returns
	OneByte bool          // the call, a Read or Write, transfers one byte
	Delay   time.Duration // the thread is held up for so long before the call
	Side    Side          // for Read, Write and SetSocketOption
	Share   float64       // share of the calls that fail, over 0 and up to 1
	// From and Until are times since the process was started. Until 0 means for good.
	From, Until time.Duration
}

func (f Fault) String() string {
	switch {
	case f.OneByte:
		return fmt.Sprintf("%v: one byte", f.Call)
	case f.Delay > 0:
		return fmt.Sprintf("%v: held up for %v", f.Call, f.Delay)
	}
	return fmt.Sprintf("%v: %v", f.Call, f.Error)
}

// Schedule says which calls of a process fail. Where several faults apply to a call, the first that is drawn is played.
type Schedule struct {
	Seed   uint64
	Faults []Fault
}

// ErrInvalidFault is returned for a fault with an unknown call, a share outside its range or an end before its start,
// with none or several of Error, OneByte and Delay, or with OneByte for a call that transfers nothing.
var ErrInvalidFault = errors.New("invalid system call fault")

// Validate returns ErrInvalidFault for the first invalid fault, if there is any.
func (s Schedule) Validate() error {
	for i, fault := range s.Faults {
		if !fault.valid() {
			return fmt.Errorf("%w: fault %d (%v)", ErrInvalidFault, i, fault)
		}
	}
	return nil
}

func (f Fault) valid() bool {
	shareInRange := f.Share > 0 && f.Share <= 1
	ordered := f.Until == 0 || f.Until > f.From
	transfers := f.Call == Read || f.Call == Write
	effects := 0
	for _, set := range []bool{f.Error != 0, f.OneByte, f.Delay > 0} {
		if set {
			effects++
		}
	}
	return f.Call < callCount && shareInRange && ordered && effects == 1 && (transfers || !f.OneByte)
}

// player draws which calls fail. The draws depend on the seed and the order of the calls alone.
type player struct {
	schedule Schedule
	random   *rand.Rand
	counts   []int // times that each fault was played
}

func newPlayer(schedule Schedule) *player {
	return &player{
		schedule: schedule,
		random:   rand.New(rand.NewPCG(schedule.Seed, 0)),
		counts:   make([]int, len(schedule.Faults)),
	}
}

// draw returns the index of the fault to be played on a call, elapsed after the start; false: none.
func (p *player) draw(call Call, side Side, elapsed time.Duration) (index int, fails bool) {
	for i, fault := range p.schedule.Faults {
		active := elapsed >= fault.From && (fault.Until == 0 || elapsed < fault.Until)
		matches := fault.Call == call && (fault.Side == AnySide || fault.Side == side)
		if active && matches && p.random.Float64() < fault.Share {
			p.counts[i]++
			return i, true
		}
	}
	return 0, false
}
