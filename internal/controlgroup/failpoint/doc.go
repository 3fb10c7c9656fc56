// Package failpoint names deliberate faults, which show that the simulation of the control group (package
// clustersim) finds what it is for. A build with the tag "planted" can enable one of them. Any other build has
// neither the faults nor the package: it holds nothing then but this comment.
//
// # Seams
//
// The source without the tag has no branch for a fault. It calls a few small functions, the seams, whose correct
// bodies it holds; files *_planted.go wrap these and call the correct body unless their fault is enabled. Each
// package with seams has them as the methods of one type. The variable through which they are called has that
// type in safety_default.go or seams_default.go, and with the tag a type that embeds it.
//
//	seam                     faults
//	lease/safety.go
//	  nextToken              TokenReused
//	  inheritedDeadline      TimersForgotten
//	  mayRenew               RenewedAfterExpiry
//	  mayConfirm             GrantedWhileExpiring
//	clustersim/seams.go
//	  admitAct               NoFence
//	  restoreFence           FenceForgotten
//	  tokenToActUnder        NoLeaseCheck
//	  monotonicTime          WallClock
//	  handleResponse         CountedFromResponse, DriftIgnored
//	  propose                UnconfirmedRenewals, StaleReads, AnsweredTooEarly
//	  step                   DiskUnchecked
//	  newStateMachine        DiskUnchecked
//	  replaceLostDisk        DiskUnchecked
//	  writeAndSend           SentBeforeWritten
//
// The faults of a process that the simulation drives (what a holder, a receiver or a voter's event loop does) are
// planted where the simulation drives it. What they need from packages lease and consensus is in the files
// lease/holder_planted.go and consensus/state_machine_planted.go, which no other build has.
//
// The files *_planted.go ask Enabled, tests call Enable. The package must not know its callers.
package failpoint
