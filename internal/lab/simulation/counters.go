package simulation

import (
	"math"
	"time"

	"piernotch"
	"piernotch/internal/lab/goodput"
	"piernotch/internal/lab/scenario"
	"piernotch/internal/lab/servermodel"
)

// maxTracks bounds the number of sampled servers.
const maxTracks = 48

// States of a sample beyond those of servermodel.State. ServerTrack.State lists all values.
const (
	sampleSlowStart  uint8 = 5
	sampleOverloaded uint8 = 6
)

type counters struct {
	Events           int
	Requests         int // sent by clients, retries included
	Attempts         int
	FirstAttempts    int
	CrossZone        int // attempts to a server in another zone
	HealthChecks     int
	RejectedByServer int
	TableFull        int // connections not opened because of the server's connection limit
	Opened           int // connections
	Collapses        int
	Unreachable      int // requests that reached no balancer
	TimedOut         int // requests whose client stopped waiting at the deadline
	Disconnected     int // requests whose client disconnected early
	ListFailed       int // calls to discovery that timed out
	Outcomes         [piernotch.NotSent + 1]int
	ServedWork       float64       // ms
	ModuleTime       time.Duration // wall-clock time of the balancers' decisions

	goodput *goodput.Counter
	digest  uint64 // hash over the latency and earned weight of all client requests

	// The following fields check Little's law.
	inflight        int           // attempts at servers
	since           time.Duration // time up to which inflightSeconds is integrated
	inflightSeconds float64       // integral of inflight over time, s
	sojournSeconds  float64       // sum over attempts of the time at their server, s
	accepted        int

	tracks []ServerTrack
}

func (c *counters) init(realization *scenario.Realization) { c.goodput = goodput.New(realization) }

// finish counts a finished client request and adds it to the digest.
func (c *counters) finish(world *World, client *clientRequest, end goodput.End) {
	took := world.now - client.firstSent
	earned := c.goodput.RequestFinished(goodput.FinishedRequest{
		First:          client.firstSent,
		Took:           took,
		Class:          client.class,
		Work:           client.work,
		ClientAttempts: client.attemptsSent,
		End:            end,
	})
	c.digest = mix(c.digest^mix(client.randomKey^uint64(took)<<1)) + math.Float64bits(earned)
}

// attemptStarted counts an attempt; the first of a request has number 0.
func (c *counters) attemptStarted(attemptNumber int, crossZone bool) {
	c.Attempts++
	if attemptNumber == 0 {
		c.FirstAttempts++
	}
	if crossZone {
		c.CrossZone++
	}
}

// enter counts an attempt that a server accepted.
func (c *counters) enter(world *World) {
	c.advance(world.now)
	c.inflight++
	c.accepted++
}

// exit counts an attempt that has left its server, for whatever reason.
func (c *counters) exit(world *World, attempt *attemptState) {
	c.advance(world.now)
	c.inflight--
	c.sojournSeconds += (world.now - attempt.arrivesAt).Seconds()
}

// advance integrates the number of attempts at servers up to now.
func (c *counters) advance(now time.Duration) {
	c.inflightSeconds += float64(c.inflight) * (now - c.since).Seconds()
	c.since = now
}

// sample records the state of the sampled servers, once a second up to the scenario's length.
func (c *counters) sample(world *World) {
	if c.tracks == nil {
		c.chooseTracks(world)
	}
	if world.now > world.realization.Length {
		return
	}
	for i := range c.tracks {
		track := &c.tracks[i]
		server := &world.servers[track.Server]
		state := uint8(server.State())
		switch {
		case server.State() == servermodel.Up && server.Overloaded():
			state = sampleOverloaded
		case server.State() == servermodel.Up && server.InSlowStart(world.now):
			state = sampleSlowStart
		}
		track.Busy = append(track.Busy, float32(math.Round(1000*server.Busy())/1000))
		track.Inflight = append(track.Inflight, int16(min(server.Inflight(), math.MaxInt16)))
		track.State = append(track.State, state)
	}
}

// chooseTracks selects the servers to sample: every n-th, which spreads the sample evenly over all servers.
func (c *counters) chooseTracks(world *World) {
	count := len(world.servers)
	step := max((count+maxTracks-1)/maxTracks, 1)
	for i := 0; i < count; i += step {
		spec := &world.servers[i].spec
		c.tracks = append(c.tracks, ServerTrack{Server: i, Kind: spec.Kind.Name, Zone: spec.Zone})
	}
}
