//go:build planted

package failpoint

// Fault names a deliberate fault.
type Fault string

// None is no fault.
const None Fault = ""

// The faults. Each breaks one of the reasons why the group is correct, and the checks of package clustersim have
// to find each.
const (
	NoFence              Fault = "no-fence"              // a receiver admits every token
	FenceForgotten       Fault = "fence-forgotten"       // a receiver loses its tokens when it restarts
	NoLeaseCheck         Fault = "no-look"               // a holder does not check its lease before it acts
	WallClock            Fault = "wall-clock"            // a holder measures its lease by a clock that can be set
	CountedFromResponse  Fault = "counted-from-answer"   // a holder measures its lease from the response
	DriftIgnored         Fault = "drift-ignored"         // a holder does not shorten its lease by the clocks' drift
	TokenReused          Fault = "token-reused"          // a token is given twice
	TimersForgotten      Fault = "timers-forgotten"      // a new leader takes all leases for expired
	RenewedAfterExpiry   Fault = "renewed-after-expiry"  // a lease is renewed although its expiry is already proposed
	GrantedWhileExpiring Fault = "granted-while-lapsing" // a lease is granted again although its expiry is proposed
	UnconfirmedRenewals  Fault = "unconfirmed-renewals"  // a leader renews without confirming that it still leads
	StaleReads           Fault = "stale-reads"           // a leader responds to reads without confirming that it leads
	AnsweredTooEarly     Fault = "answered-too-early"    // a change is answered before a majority has it
	SentBeforeWritten    Fault = "sent-before-written"   // a voter sends messages before its disk has what they promise
	DiskUnchecked        Fault = "disk-unchecked"        // a voter keeps its identity after its disk was lost
)

// All are the faults, in the order in which the tests plant them.
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

// enabled is the fault that is enabled.
var enabled = None

// Enabled reports whether a fault is enabled.
func Enabled(fault Fault) bool { return fault == enabled }

// Enable enables one fault in place of the last, or none with None. It must not be called while anything that
// calls Enabled runs.
func Enable(fault Fault) { enabled = fault }
