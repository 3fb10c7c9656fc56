package simulation

import (
	"math"
	"time"

	"piernotch"
	"piernotch/internal/lab/invariants"
	"piernotch/internal/lab/scenario"
	"piernotch/internal/lab/servermodel"
)

// maxAttempts bounds the attempts of a balancer at one request, whatever the settings allow.
const maxAttempts = 8

// clientRequest is a request as its client sees it. Each send, the first or a retry, is a separate request to
// the balancers.
type clientRequest struct {
	randomKey      uint64 // key of the hashed random numbers
	firstSent      time.Duration
	deadline       time.Duration // when the client gives up, over all of its attempts
	class          int
	zone           int
	work           float64 // ms on a core of speed 1
	costHint       float64 // ms; NaN: none
	key            uint64  // for key affinity; 0: none
	attemptsSent   int     // sends so far, retries included
	maxRetries     int     // most retries of the client
	disconnectDraw float64 // in [0, 1); below EarlyDisconnectShare, the client disconnects early
}

// departedClient replaces a finished client request that a balancer still works on.
var departedClient = clientRequest{costHint: math.NaN()}

// requestState is a request as a balancer sees it: one send of a clientRequest.
type requestState struct {
	client              uint64        // ID of its clientRequest
	balancer            balancerIndex // noBalancer: none could be reached
	retry               int8          // 0 for the first send; capped at 100
	attempts            int8          // attempts started by the balancer
	inflight            int8          // attempts not completed
	received            bool          // the balancer has received it
	responded           bool          // the final response was sent, or none is needed
	clientDone          bool          // the client no longer waits
	expired             bool          // past the deadline, or no balancer could be chosen
	respondedByBalancer bool          // the balancer itself rejected or failed it
	respondedAt         time.Duration
	result              invariants.Result
	balancerKilled      bool          // killed before it responded
	retryAfter          time.Duration // of a rejection
	deadline            time.Duration
	attemptIDs          [maxAttempts]uint64
}

type attemptState struct {
	request       uint64
	randomKey     uint64
	balancer      balancerIndex
	server        serverIndex
	epoch         uint32 // of the balancer at sentAt
	number        int8   // attempt number, from 0
	status        piernotch.Status
	newConnection bool
	inTransit     bool // on its way to the server
	completed     bool // over for its balancer
	atServer      bool // running or queued at the server
	outcomeSent   bool // outcome on the way to the balancer
	hasLoad       bool
	delay         time.Duration // one-way network delay
	sentAt        time.Duration
	arrivesAt     time.Duration // arrival at the server, in the future or the past
	work          float64       // ms
	workDone      float64       // ms, by the server
	load          servermodel.LoadReport
}

type healthCheckState struct {
	balancer balancerIndex
	server   serverIndex
	epoch    uint32 // of the balancer at sentAt
	status   piernotch.Status
	sentAt   time.Duration
	delay    time.Duration // one-way network delay
	load     servermodel.LoadReport
	hasLoad  bool
}

// connectionPool counts the connections of one balancer to one server.
type connectionPool struct {
	idle, open int32 // open includes idle
	lastUsed   time.Duration
}

// closeIdle removes the idle connections from the pool and returns their number.
func (p *connectionPool) closeIdle() int {
	idle := p.idle
	p.open -= idle
	p.idle = 0
	return int(idle)
}

type balancerState struct {
	zone        int
	up          bool
	admitted    bool   // clients are sent here
	epoch       uint32 // counts starts and kills; what belongs to an older process is dropped
	inbox       []Event
	queued      bool             // has events for the next turn
	pools       []connectionPool // by server; nil: none used yet
	listVersion uint64
	entries     map[serverIndex]piernotch.Endpoint // last endpoint list, cached for the next process
	watching    bool
	lastPoll    time.Duration
	pollFailed  bool
}

// serverState is one server: its model and the World's data.
type serverState struct {
	*servermodel.Server
	spec           scenario.Server
	id             piernotch.ServerID
	nextAdvance    time.Duration // when its next Advance is scheduled
	connections    int           // open, from all balancers
	slowFactor     float64       // product of the slow faults in force
	everOverloaded bool
	noticeCount    int // notices sent to discovery
}
