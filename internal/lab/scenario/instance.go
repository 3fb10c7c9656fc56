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

// Stream returns the random numbers of one concern of one seed. Concerns do not
// share numbers: what one of them draws does not depend on what happens elsewhere,
// so that two runs of a seed meet the same traffic and the same troubles.
func Stream(seed uint64, concern string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(concern)))
}

// Instance is one drawn instance of a scenario: nothing in it is a range any more.
type Instance struct {
	Name         string
	Seed         uint64
	Length, Tick time.Duration

	Zones  []string
	Delay  [][]time.Duration // one way, by zone and zone
	Client time.Duration     // one way between a client and a balancer
	Jitter float64

	Servers   []Server
	Balancers []Balancer
	Settings  piernotch.Settings // but for Zone
	Front     time.Duration      // time for which clients are still sent to a dead balancer

	Classes   []InstanceClass
	Traffic   InstanceTraffic
	Clients   InstanceClients
	Discovery InstanceDiscovery
	Rules     InstanceRules
	Score     InstanceScore
	Faults    []Fault

	kinds []kindDraw
}

// Server is one machine of the instance.
type Server struct {
	Kind      servermodel.Kind
	KindIndex int
	Zone      int
	Cell      int
	Size      float64 // as the list gives it
	Handshake int     // round trips that a new connection takes
}

// Balancer is one instance.
type Balancer struct {
	Zone  int
	Start time.Duration
}

// InstanceClass is a class as drawn. Times are durations, work is in ms.
type InstanceClass struct {
	piernotch.Class
	Share     float64
	Work      distuv.Rander // work of a request, ms; draws from the traffic's stream
	MeanWork  float64
	AttemptCV float64
}

// InstanceTraffic is the traffic as drawn.
type InstanceTraffic struct {
	PerSec  float64 // mean
	Shape   string
	Swing   float64
	Period  time.Duration
	Phase   float64   // share of a period
	Zones   []float64 // cumulative shares
	Keys    int
	KeyZipf float64
	Hints   string
	HintCV  float64
	Trace   string
}

// InstanceClients is the clients' behaviour as drawn.
type InstanceClients struct {
	Retries    float64 // the fraction is the chance of one more
	Backoff    time.Duration
	TryShare   float64
	Honour     float64
	Impatient  float64
	MarksRetry bool
}

// InstanceDiscovery is service discovery as drawn.
type InstanceDiscovery struct {
	Push                                          bool
	Notice, Silent, Add, Period, Spread, Patience time.Duration
	CallsPerSec, CallLines                        float64
}

// InstanceRules is the rules' figures.
type InstanceRules struct {
	Slack, AskWithin, Grace, Dial, Probe, KeepAlive time.Duration
	ColdFrom                                        float64
	Cold                                            time.Duration
	Fall                                            servermodel.Collapse
}

// InstanceScore is how service is counted.
type InstanceScore struct {
	Whole, WorstWindow, WorstClass           float64
	Window                                   time.Duration
	ByWork                                   bool
	Waste, LateFail, CrossZone, Probe, Choke float64
}

// Fault is a fault at its time, with the servers and balancers that it hits.
type Fault struct {
	Kind      string
	At, For   time.Duration
	Part      float64
	Size      float64
	Every     time.Duration
	Ramp      time.Duration
	Class     int   // -1: all
	Servers   []int // of the first servers of the day, in the order of their turn
	Balancers []int
	Number    int // its place in the scenario
}

// End is when an incident is over.
func (i *Fault) End() time.Duration { return i.At + i.For }

// kindDraw is what all machines of a kind have in common in an instance.
type kindDraw struct {
	kind    servermodel.Kind
	speedCV float64
	rtts    int
}

func seconds(v float64) time.Duration { return time.Duration(math.Round(v*1e6)) * time.Microsecond }

func millis(v float64) time.Duration { return time.Duration(math.Round(v*1e3)) * time.Microsecond }

// Capacity is the work that the day's first servers do in a second when warm, ms.
func (d *Instance) Capacity() float64 {
	sum := 0.0
	for i := range d.Servers {
		sum += d.Servers[i].Kind.Capacity()
	}
	return sum
}

// MeanWork is the mean work of a request, ms.
func (d *Instance) MeanWork() float64 {
	sum := 0.0
	for _, c := range d.Classes {
		sum += c.Share * c.MeanWork
	}
	return sum
}

// KindNames names the kinds of machine, by Server.KindIndex.
func (d *Instance) KindNames() []string {
	names := make([]string, len(d.kinds))
	for i := range d.kinds {
		names[i] = d.kinds[i].kind.Name
	}
	return names
}
