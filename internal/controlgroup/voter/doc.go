// Package voter runs one voter of a control group: it drives the pure state machine of package consensus with a file,
// a clock and connections.
//
// One goroutine, the event loop (loop.go), owns the state machine, the store and all state that is not marked
// otherwise. Connection readers and dialers hand it closures through a bounded channel. It takes them in batches, so
// that what arrived together is written and synced together. After each batch it writes, sends and answers what the
// state machine has ready.
//
// The files: voter.go starts and ends a voter; store.go opens, bootstraps and replaces its file; loop.go is the event
// loop; connections.go keeps the connections to other voters and accepts those of voters and clients;
// requests.go serves clients at the leader; subscriptions.go passes on what duty holders publish.
//
// Command piernotch-voter is the only caller outside tests. The package must not know the balancer, and what
// duties mean.
package voter
