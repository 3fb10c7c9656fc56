// Package failpoint names the faults of a mutation test: each is a deliberate error in the control group that its
// simulation (package clustersim) has to detect. A build with the tag "planted" can enable one fault at a time. Any
// other build compiles no code for faults, and this package is empty.
//
// # Seams
//
// Code without the tag has no branch for a fault. It calls a few small functions, the seams, in their correct
// form. The files safety_planted.go and seams_planted.go wrap the seams: a wrapper calls the correct form unless its
// fault is enabled. In each package the seams are the methods of one type (lease.safetyRules,
// clustersim.correctSteps), called through one variable. Without the tag, the variable has that type
// (safety_default.go, seams_default.go). With the tag, its type embeds the correct one and overrides the seams.
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
// seams are in package clustersim. The code that they need from packages lease and consensus is compiled
// only with the tag, in lease/holder_planted.go and consensus/state_machine_planted.go.
//
// The wrappers and state_machine_planted.go call Enabled; tests call Enable. The package must not depend on its
// callers.
package failpoint
