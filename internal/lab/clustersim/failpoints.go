package clustersim

// Failpoints are the defects of a build with the tag "planted". Each breaks one of the
// reasons why the group is correct, and the checks have to find each.
var Failpoints = []string{
	"no-fence",              // a receiver admits every token
	"fence-forgotten",       // a receiver loses its tokens when it restarts
	"no-look",               // a holder does not check its lease before it acts
	"wall-clock",            // a holder measures its lease by a clock that can be set
	"counted-from-answer",   // a holder measures its lease from the response, not from the request
	"drift-ignored",         // a holder does not shorten its lease by the clocks' drift
	"token-reused",          // a token is given twice
	"timers-forgotten",      // a new leader takes all leases for expired
	"renewed-after-expiry",  // a lease is renewed although its expiry is already proposed
	"granted-while-lapsing", // a lease whose expiry is already proposed is granted again to its holder
	"unconfirmed-renewals",  // a leader renews without confirming that it still leads
	"stale-reads",           // a leader answers reads without confirming that it still leads
	"answered-too-early",    // a change is answered before a majority has it
	"sent-before-written",   // a voter sends messages before its disk has what they promise
	"disk-unchecked",        // a voter keeps its identity after its disk was lost
}
