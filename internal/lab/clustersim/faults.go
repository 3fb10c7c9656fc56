package clustersim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is what goes wrong.
type Kind string

// Kinds of faults. Node numbers count voters first, then members, then receivers.
const (
	Cut     Kind = "cut"     // nothing gets from Node to Other
	Isolate Kind = "isolate" // nothing gets from or to Node, or, with OneWay, only from it
	Split   Kind = "split"   // Node, a voter, and every second other node but voters on one side, the rest on the other
	Flap    Kind = "flap"    // the same, on and off every 200 ms
	Crash   Kind = "crash"   // Node ends, and starts again after For with its disk
	Forget  Kind = "forget"  // the same, with an empty disk
	Rewind  Kind = "rewind"  // the same, with the disk as it was at an earlier start
	AllDown Kind = "alldown" // all voters end at once, and start again
	Stall   Kind = "stall"   // Node stands still
	Slow    Kind = "slow"    // Node's disk takes two seconds to sync
	Full    Kind = "full"    // Node's disk takes nothing: its voter ends, and starts again after For
	Lossy   Kind = "lossy"   // messages are lost, doubled and late, everywhere
	Step    Kind = "step"    // Node's wall clock steps by 10 s
	Leave   Kind = "leave"   // Node gives up its duties for as long
	HandOn  Kind = "handon"  // Node hands its duties on
)

// Fault is one step of a schedule.
type Fault struct {
	At, For     time.Duration
	Kind        Kind
	Node, Other int
	OneWay      bool
}

// String tells the fault in words.
func (f Fault) String() string {
	s := fmt.Sprintf("%6.2f s for %.2f s: %s of node %d", f.At.Seconds(), f.For.Seconds(), f.Kind, f.Node)
	if f.Kind == Cut {
		s += fmt.Sprintf(" to node %d", f.Other)
	}
	if f.OneWay {
		s += ", one way"
	}
	return s
}

// Side tells on which side of a split a node is.
func (f Fault) Side(size Size, node int) bool {
	return node == f.Node || node >= size.Voters && (node+f.Other)%2 == 0
}

// Size is what a schedule is played on.
type Size struct {
	Voters, Members, Receivers, Duties int
	Length                             time.Duration
	Faults                             int
}

// Calm is the time without faults at the end, in which every duty has to be held again.
const Calm = 25 * time.Second

// Draw draws a schedule; all faults are over by Calm before the end. Disks are lost or rewound one at a
// time, and only while the group has replaced those lost before.
func Draw(seed uint64, size Size) []Fault {
	rng := rand.New(rand.NewPCG(seed, 0xfa17))
	room := size.Length - Calm
	var all []Fault
	var forgot time.Duration
	kinds := []Kind{Cut, Cut, Isolate, Isolate, Split, Split, Split, Flap, Crash, Crash, Crash, Forget, Rewind, AllDown, Stall, Stall, Stall, Slow, Full, Lossy, Lossy, Step, Leave, HandOn, HandOn}
	for range size.Faults {
		f := Fault{Kind: kinds[rng.IntN(len(kinds))], For: 200*time.Millisecond + time.Duration(rng.ExpFloat64()*float64(4*time.Second))}
		f.For = min(f.For, room/2)
		f.At = time.Duration(rng.Int64N(int64(room - f.For)))
		f.OneWay = rng.IntN(3) == 0
		voter, member := rng.IntN(size.Voters), size.Voters+rng.IntN(size.Members)
		f.Node, f.Other = voter, rng.IntN(size.Voters+size.Members+size.Receivers)
		switch f.Kind {
		case Stall, Crash, Step, Isolate, Flap:
			switch rng.IntN(5) {
			case 0, 1:
				f.Node = member
			case 2:
				f.Node = size.Voters + size.Members + rng.IntN(size.Receivers)
			}
		case Leave, HandOn:
			f.Node = member
		case Forget, Rewind:
			if at := max(f.At, forgot); at+f.For+12*time.Second > room {
				f.Kind = Crash
			} else {
				f.At, forgot = at, at+f.For+12*time.Second
			}
		}
		all = append(all, f)
	}
	slices.SortStableFunc(all, func(a, b Fault) int { return int(a.At - b.At) })
	return all
}

// Small is the size of most campaigns.
var Small = Size{Voters: 3, Members: 4, Receivers: 2, Duties: 2, Length: 60 * time.Second, Faults: 12}

// Plants are the faults that can be planted in a build with the tag "planted". Each breaks one of the
// reasons for which the promise holds.
var Plants = []string{
	"no-fence",              // a receiver does whatever comes
	"fence-forgotten",       // a receiver's token is gone when it starts again
	"no-look",               // a holder does not look at the clock before it acts
	"wall-clock",            // a holder goes by a clock that is set
	"counted-from-answer",   // a holder counts from when the answer came, not from when it asked
	"drift-ignored",         // a holder goes by a grant for longer than the grantor does
	"token-reused",          // a token comes twice
	"timers-forgotten",      // a new leader takes what is held for lapsed
	"renewed-after-expiry",  // a grant is renewed though its end is on its way
	"granted-while-lapsing", // so is one that is asked for again
	"unconfirmed-renewals",  // a leader renews without asking whether it still leads
	"stale-reads",           // a leader tells who holds a duty without asking that
	"answered-too-early",    // a change is answered before a majority has it
	"sent-before-written",   // a voter promises what is not on its disk
	"disk-unchecked",        // a voter votes under its number whatever became of its disk
}
