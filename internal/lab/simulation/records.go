package simulation

import (
	"math"
	"time"

	"piernotch"
	"piernotch/internal/lab/invariants"
	"piernotch/internal/lab/scenario"
	"piernotch/internal/lab/servermodel"
)

// maxAttempts bounds the attempts of a request, whatever the settings allow.
const maxAttempts = 8

// clientRequest is what a client wants. The client makes a first attempt at it, and retries after some
// failures; to the balancers each of its attempts is a request of its own.
type clientRequest struct {
	randomKey      uint64 // seeds its hashed random numbers
	firstSent      time.Duration
	deadline       time.Duration // when the client gives up, over all of its attempts
	class          int
	zone           int
	work           float64 // ms on a core of speed 1
	costHint       float64 // ms; NaN: none
	key            uint64  // for key affinity; 0: none
	attemptsSent   int     // so far
	maxRetries     int     // retries that the client would make
	disconnectDraw float64 // from [0, 1): below a share, the client disconnects early
}

// departedClient stands for a client that has gone while its balancer still works for it.
var departedClient = clientRequest{costHint: math.NaN()}

// requestState is one attempt of a client at its request, as a balancer sees it.
type requestState struct {
	client              uint64        // ID of its clientRequest
	balancer            balancerIndex // noBalancer: none could be reached
	retry               int8          // number of the client's attempt, from 0
	attempts            int8          // started so far
	inflight            int8          // of them, not completed yet
	received            bool          // by the balancer
	responded           bool          // it has its final response, or needs none
	clientDone          bool          // the client knows how it ended
	expired             bool          // its deadline has passed
	respondedByBalancer bool          // the balancer itself rejected or failed it
	respondedAt         time.Duration
	result              invariants.Result
	balancerKilled      bool          // while it had the request
	retryAfter          time.Duration // advice of a rejection
	deadline            time.Duration
	attemptIDs          [maxAttempts]uint64
}

// attemptState is one sending of a request by a balancer to a server.
type attemptState struct {
	request       uint64
	randomKey     uint64
	balancer      balancerIndex
	server        serverIndex
	epoch         uint32 // of the balancer, when it was sent
	number        int8   // from 0, for each request
	status        piernotch.Status
	newConnection bool
	inTransit     bool // on its way to the server
	completed     bool // for its balancer
	atServer      bool // running or queued there
	outcomeSent   bool // its outcome is on the way to the balancer
	hasLoad       bool
	delay         time.Duration // of the network, one way
	sentAt        time.Duration
	arrivesAt     time.Duration // when it reaches, and later when it reached, the server
	work          float64       // ms
	workDone      float64       // ms
	load          servermodel.LoadReport
}

// healthCheckState is one health check on its way to a server and back.
type healthCheckState struct {
	balancer balancerIndex
	server   serverIndex
	epoch    uint32 // of the balancer, when it was sent
	status   piernotch.Status
	sentAt   time.Duration
	delay    time.Duration // of the network, one way
	load     servermodel.LoadReport
	hasLoad  bool
}

// connectionPool is one balancer's connections to one server.
type connectionPool struct {
	idle, open int32 // open includes idle
	lastUsed   time.Duration
}

// closeIdle forgets the idle connections and returns how many there were.
func (p *connectionPool) closeIdle() int {
	idle := p.idle
	p.open -= idle
	p.idle = 0
	return int(idle)
}

// balancerState is one balancer and the process that it runs in.
type balancerState struct {
	zone        int
	up          bool
	admitted    bool   // clients are sent here
	epoch       uint32 // counts starts and kills, to tell what is late
	inbox       []Event
	queued      bool             // for the next turn
	pools       []connectionPool // by server; nil: none used yet
	listVersion uint64
	entries     map[serverIndex]piernotch.Endpoint // last endpoint list, cached for the next process
	watching    bool
	lastPoll    time.Duration
	pollFailed  bool
}

// serverState is one server and what the world knows of it beyond its model.
type serverState struct {
	*servermodel.Server
	spec           scenario.Server
	id             piernotch.ServerID
	nextAdvance    time.Duration // when its next Advance is scheduled
	connections    int           // open, from all balancers
	slowFactor     float64       // product of the slow faults in force
	everOverloaded bool
	noticeCount    int // changes that service discovery was notified of
}
