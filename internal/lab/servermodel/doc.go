// Package servermodel models a server: what it does with the work that it is sent. It covers
// queueing and processor sharing, slow start and collapse in it, overload, pauses, the cost of
// connections, key affinity and load reports.
//
// A Server is pure: it has no clock, no sockets and no random source but those it is given. Every
// method takes the present time, which must not go back, and Next says when Advance must be called at
// the latest. It must not know of balancers or requests' outcomes at clients. It is for one goroutine
// at a time.
//
// internal/lab/simulation runs thousands of Servers in simulated time, internal/lab/emulator the same
// ones behind sockets; internal/lab/scenario draws their Kinds.
//
// Work is counted in milliseconds on a core of speed 1, as cost hints are: a core of speed 2 does two
// milliseconds of work in one.
package servermodel
