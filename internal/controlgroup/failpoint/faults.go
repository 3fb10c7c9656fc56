//go:build planted

package failpoint

// Fault identifies a deliberate fault to Enable and Enabled.
type Fault string

// None means that no fault is enabled.
const None Fault = ""

// The faults. Each breaks one rule that the group's correctness depends on. The checks of package clustersim must
// find every one.
const (
	NoFence              Fault = "no-fence"              // a receiver accepts every token
	FenceForgotten       Fault = "fence-forgotten"       // a receiver loses its fence's tokens when it restarts
	NoLeaseCheck         Fault = "no-look"               // a holder does not check its lease before it acts
	WallClock            Fault = "settable-clock"        // a process measures leases by a clock that can be set
	CountedFromResponse  Fault = "counted-from-answer"   // a holder's lease counts from the response, not the request
	DriftIgnored         Fault = "drift-ignored"         // a holder does not shorten its lease for clock drift
	TokenReused          Fault = "token-reused"          // a token is granted twice
	TimersForgotten      Fault = "timers-forgotten"      // a new leader treats all leases as expired
	RenewedAfterExpiry   Fault = "renewed-after-expiry"  // a lease is renewed after its expiry was proposed
	GrantedWhileExpiring Fault = "granted-while-lapsing" // a lease is confirmed after its expiry was proposed
	UnconfirmedRenewals  Fault = "unconfirmed-renewals"  // a leader renews without confirming its leadership
	StaleReads           Fault = "stale-reads"           // a leader serves reads without confirming its leadership
	AnsweredTooEarly     Fault = "answered-too-early"    // a change is confirmed before a majority has it
	SentBeforeWritten    Fault = "sent-before-written"   // a voter sends messages before writing what they acknowledge
	DiskUnchecked        Fault = "disk-unchecked"        // a voter keeps its ID after it lost its disk
)

// All lists the faults in the order in which the tests enable them.
var All = []Fault{
	NoFence,
	FenceForgotten,
	NoLeaseCheck,
	WallClock,
	CountedFromResponse,
	DriftIgnored,
	TokenReused,
	TimersForgotten,
	RenewedAfterExpiry,
	GrantedWhileExpiring,
	UnconfirmedRenewals,
	StaleReads,
	AnsweredTooEarly,
	SentBeforeWritten,
	DiskUnchecked,
}

// enabled is the current fault. It has no lock: see Enable.
var enabled = None

// Enabled reports whether fault is the enabled one.
func Enabled(fault Fault) bool { return fault == enabled }

// Enable enables one fault and disables the previous; None disables all. Calling it while code that calls
// Enabled runs is a data race.
func Enable(fault Fault) { enabled = fault }
