package memory

// Allowance is the number of bytes that the buffers of a connection may hold without being charged to a pool. It is
// enough for usual requests, which are therefore served however much other clients send.
const Allowance = 2 << 10

const (
	// goTenths is the share of the process's limit, in tenths, that the Go runtime may use. The rest is for the
	// program's code, the stacks of threads, and what the C library uses.
	goTenths = 6
	// runtimeOverhead is what the Go runtime uses apart from the heap, in bytes.
	runtimeOverhead = 6 << 20
	// The collector needs room for what is garbage and not collected yet: of three parts of the heap, two may be alive.
	liveParts, heapParts = 2, 3

	// processOverhead is what is alive in a process without servers and connections, in bytes.
	processOverhead = 1 << 20
	// serverOverhead is what is alive for a listed server, in bytes.
	serverOverhead = 1536
	// connectionOverhead is what is alive for a connection apart from its buffers, in bytes.
	connectionOverhead = 1536

	// Connections may use up to three of four parts of what remains, the pools at least one.
	connectionParts, budgetParts = 3, 4

	// The lower bounds of a plan. Below them a process could not serve; the limit is too low then.
	minConnections = 16
	minPoolBytes   = 256 << 10

	// listDivisor sets the largest endpoint list as a part of what the Go runtime may use: a list is held several
	// times while it is parsed.
	listDivisor = 16
	// maxListBytes is the largest endpoint list of any process.
	maxListBytes = 4 << 20
)

// Limits is what a process may use.
type Limits struct {
	Bytes       int64 // resident memory
	Connections int
	Servers     int // listed servers
}

// Plan says how a process divides its memory. All sizes are in bytes.
type Plan struct {
	GoBytes       int64 // soft limit of the Go runtime
	Connections   int   // at most Limits.Connections
	RequestBytes  int64 // limit of the pool of requests
	ResponseBytes int64 // limit of the pool of responses
	ListBytes     int   // largest endpoint list
}

// NewPlan returns the plan for some limits.
func NewPlan(limits Limits) Plan {
	goBytes := limits.Bytes * goTenths / 10
	live := max(goBytes-runtimeOverhead, 0) * liveParts / heapParts
	budget := live - processOverhead - int64(limits.Servers)*serverOverhead
	const perConnection = connectionOverhead + Allowance
	connections := min(int64(limits.Connections), budget*connectionParts/budgetParts/perConnection)
	connections = max(connections, minConnections)
	pool := max((budget-connections*perConnection)/2, minPoolBytes)
	return Plan{
		GoBytes:       goBytes,
		Connections:   int(connections),
		RequestBytes:  pool,
		ResponseBytes: pool,
		ListBytes:     int(min(goBytes/listDivisor, maxListBytes)),
	}
}
