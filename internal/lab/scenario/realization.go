package scenario

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"gonum.org/v1/gonum/stat/distuv"

	"piernotch"
	"piernotch/internal/lab/servermodel"
)

// Stream returns the random stream of one concern for a seed. Concerns do not share a stream: what
// one of them draws does not depend on what happens elsewhere, so that two runs of a seed get the
// same traffic and the same faults. The result belongs to one goroutine.
func Stream(seed uint64, concern string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(concern)))
}

// Realization is a drawn scenario: each range has become one value.
type Realization struct {
	Name         string
	Seed         uint64
	Length, Tick time.Duration

	Zones       []string
	Delay       [][]time.Duration // one way, by zone and zone
	ClientDelay time.Duration     // one way between a client and a balancer
	Jitter      float64

	Servers       []Server
	Balancers     []Balancer
	Settings      piernotch.Settings // without Zone, which differs between balancers
	FailoverDelay time.Duration      // for how long clients are still sent to a balancer that is down

	Classes   []DrawnClass
	Traffic   DrawnTraffic
	Clients   DrawnClients
	Discovery DrawnDiscovery
	Rules     DrawnRules
	Score     DrawnScore
	Faults    []Fault

	kinds []drawnKind
}

// Server is one server of the realization.
type Server struct {
	Kind          servermodel.Kind // with this server's own speed
	KindIndex     int              // index into Scenario.Kinds
	Zone          int              // index into Realization.Zones
	Cell          int              // maxCellsPerZone*Zone and more; unique while no zone has more cells
	Size          float64          // weight in the endpoint list
	HandshakeRTTs int              // round trips that a new connection takes
}

// Balancer is one balancer.
type Balancer struct {
	Zone  int           // index into Realization.Zones
	Start time.Duration // since the start of the run
}

// DrawnClass is a class as drawn. Times are durations, work is in ms.
type DrawnClass struct {
	piernotch.Class
	Share     float64       // of the requests; the shares of all classes add up to 1
	Work      distuv.Rander // work of a request, ms; all classes draw from one stream
	MeanWork  float64       // ms
	AttemptCV float64       // coefficient of variation of an attempt's work about its request's
}

// DrawnTraffic is the traffic as drawn.
type DrawnTraffic struct {
	RequestsPerSecond float64 // mean number of requests per second
	Shape             string  // steady, waves or bursty
	Amplitude         float64 // amplitude of the shape as a share of the mean
	Period            time.Duration
	Phase             float64   // share of a period at the start of the run
	Zones             []float64 // cumulative shares of the clients by zone; the last is 1
	Keys              int       // number of different keys; 0: requests have none
	KeyZipf           float64
	Hints             string // none, rough or exact
	HintCV            float64
	Trace             string // file to be replayed; "": arrivals are drawn
}

// DrawnClients is the clients' behaviour as drawn.
type DrawnClients struct {
	Retries              float64 // the fraction is the probability of one more
	Backoff              time.Duration
	AttemptTimeoutShare  float64 // an attempt times out after this share of the deadline
	RetryAfterShare      float64 // share of the clients that honour Retry-After
	EarlyDisconnectShare float64 // share of the attempts whose client disconnects early
	MarksRetry           bool    // clients mark their retries as such
}

// DrawnDiscovery is service discovery as drawn.
type DrawnDiscovery struct {
	Push                  bool          // watches deliver changes; otherwise balancers poll
	RemovalDelay          time.Duration // until it notices that a server drains or has exited
	FailureDetectionDelay time.Duration // until it notices that a server no longer responds
	AddDelay              time.Duration // until it lists a new server
	PublishInterval       time.Duration // interval at which changes are published
	DeliverySpread        time.Duration // time within which a published change is delivered
	CallTimeout           time.Duration // timeout of a call
	CallsPerSec           float64       // capacity
	LinesPerCall          float64       // number of lines that cost as much as a call
}

// DrawnRules is the timeouts and the limits of the invariants, as drawn.
type DrawnRules struct {
	ResponseSlack      time.Duration // by which a response may come after its deadline
	PollInterval       time.Duration // a balancer that neither watches nor polls for so long counts as notified
	DrainGrace         time.Duration // for which attempts may still go to a server that drains
	DialTimeout        time.Duration // timeout of connecting
	HealthCheckTimeout time.Duration // timeout of a health check
	KeepAlive          time.Duration // after which an idle connection is closed
	SlowStartCapacity  float64       // share of the capacity at the beginning of slow start
	SlowStartDuration  time.Duration // duration of slow start
	Collapse           servermodel.Collapse
}

// DrawnScore is how service is scored: the weights of its parts and what is deducted.
type DrawnScore struct {
	WholeRun     float64       // weight of the service of the whole run
	WorstWindow  float64       // weight of that of the worst window
	WorstClass   float64       // weight of that of the worst class
	Window       time.Duration // length of a window
	ByWork       bool          // requests are also weighted by their work
	Waste        float64       // this and the following: factors of what is deducted
	LateFail     float64
	CrossZone    float64
	HealthChecks float64
	Overloaded   float64
}

// Fault is a fault at its time, with the servers and balancers that it hits.
type Fault struct {
	Kind      string
	At, For   time.Duration
	Part      float64
	Size      float64
	Every     time.Duration
	Ramp      time.Duration
	Class     int   // index into Realization.Classes; -1: all
	Servers   []int // indexes into Realization.Servers, in the order in which they are affected
	Balancers []int // indexes into Realization.Balancers, in the order in which they are affected
	Number    int   // index into Scenario.Faults
}

// End returns when the fault is over, since the start of the run.
func (f *Fault) End() time.Duration { return f.At + f.For }

// drawnKind is what all servers of a kind have in common in a realization.
type drawnKind struct {
	kind    servermodel.Kind
	speedCV float64 // coefficient of variation of the servers' speeds
	rtts    int     // round trips of a handshake
}

// seconds converts seconds to a duration, rounded to microseconds.
func seconds(v float64) time.Duration { return time.Duration(math.Round(v*1e6)) * time.Microsecond }

// millis converts milliseconds to a duration, rounded to microseconds.
func millis(v float64) time.Duration { return time.Duration(math.Round(v*1e3)) * time.Microsecond }

// Capacity returns the work in ms that all servers together do in one second after slow
// start.
func (r *Realization) Capacity() float64 {
	sum := 0.0
	for i := range r.Servers {
		sum += r.Servers[i].Kind.Capacity()
	}
	return sum
}

// MeanWork returns the mean work of a request in ms.
func (r *Realization) MeanWork() float64 {
	sum := 0.0
	for _, c := range r.Classes {
		sum += c.Share * c.MeanWork
	}
	return sum
}

// KindNames returns the names of the kinds of servers, by Server.KindIndex.
func (r *Realization) KindNames() []string {
	names := make([]string, len(r.kinds))
	for i := range r.kinds {
		names[i] = r.kinds[i].kind.Name
	}
	return names
}
