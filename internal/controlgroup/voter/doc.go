// Package voter runs one voter of a control group: it drives the pure state machine of package consensus with a file,
// a clock and connections.
//
// One goroutine, the event loop (loop.go), owns the state machine, the store and all state that is not marked
// otherwise. Connection readers and dialers send it closures through a bounded channel. It handles them in batches:
// events that arrive together share one write and one sync. After each batch it carries out the state machine's output.
//
// The files: voter.go starts and stops a voter; store.go opens, bootstraps and replaces its file; loop.go is the event
// loop; connections.go maintains the connections to other voters and accepts those of voters and clients;
// requests.go serves clients at the leader; subscriptions.go relays the watch events that lease holders publish.
//
// Command piernotch-voter is the only caller outside tests. The package must not depend on the balancer or on the
// meaning of duties.
package voter
