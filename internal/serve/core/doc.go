// Package core is the reducer of a balancer process: events go in, effects come out.
//
// Every change of state is made by [Core.Handle], except that [Core.PruneOverrides] removes old
// overrides. Handle takes one [Event] (a request was received, an attempt completed, time has passed)
// and returns the [Effect] values that follow from it, in the order in which they have to be carried
// out (start an attempt, respond to a client). The package owns the state of requests and attempts,
// from their start to their end, the table of endpoints, the operators' overrides and the settings in
// force. Load-balancing decisions are made by the module, [piernotch.Balancer], which core drives; a
// [host] translates the module's decisions into effects.
//
// The package does no I/O, reads no clock and interprets no message: it passes [RequestMessage] and
// [ResponseMessage] on between the connections of clients and those of servers without reading them.
// It depends on neither HTTP nor sockets, and must not import a package that does. The time is an
// argument of Handle.
//
// internal/serve/runtime is the caller: it collects events from the sockets, from discovery and
// from operators, passes them to Handle one at a time on the event loop's goroutine, and carries
// out the effects. Nothing in this package may be called from another goroutine, and the package
// starts none.
//
// # From a request to its response
//
// A [RequestReceived] event opens an exchange, which is closed by exactly one [Respond] effect, or
// by [ClientDisconnected] without one. In between the module starts attempts. For each attempt there is a
// [StartAttempt] effect. The exceptions are attempts of a closed request or beyond MaxAttempts: they
// complete as NotSent. Once [AttemptConnected] reports a connection, the module decides again whether
// the attempt may still be sent, and only then [WriteAttempt] follows. A started attempt ends with
// [AttemptCompleted], by its timeout, or by [CancelAttempt]. A request is released when its exchange
// is closed and no attempt is in flight any more.
//
// # Reentrancy
//
// The module must not be called while one of its methods is running. If a decision of the module has a
// consequence that must be reported to it, such as an attempt that was cancelled before it was
// written, the report is deferred until the method has returned; see [Core.Handle].
package core
