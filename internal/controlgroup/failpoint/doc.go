// Package failpoint names the faults of a mutation test: each is a deliberate error in the control group that its
// simulation (package clustersim) has to detect. A build with the tag "planted" can enable one fault at a time. In
// any other build, this comment is all that the package holds, and no code for faults exists.
//
// # Seams
//
// Code without the tag has no branch for a fault. It calls a few small functions, the seams, in their correct
// form. Files *_planted.go wrap a seam, and call the correct form unless their fault is enabled. In each package
// the seams are the methods of one type, called through one variable. That variable has this type in
// safety_default.go or seams_default.go; with the tag, it has a type that embeds this one.
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
// Some faults concern a process that the simulation drives: a holder, a receiver or a voter's event loop. Their
// seams are in package clustersim. What they need from packages lease and consensus is in lease/holder_planted.go
// and consensus/state_machine_planted.go, which only builds with the tag contain.
//
// The files *_planted.go call Enabled; tests call Enable. The package must not depend on its callers.
package failpoint
