package scenario

import (
	"fmt"
	"math/rand/v2"
	"time"

	"piernotch"
	"piernotch/internal/lab/servermodel"
)

// DrawError is the error of Draw: the values drawn for a seed make a server that is not possible.
type DrawError struct {
	Seed uint64
	Err  error // of servermodel.Kind.Validate
}

// Error returns the seed and what is wrong.
func (e *DrawError) Error() string { return fmt.Sprintf("seed %d: %v", e.Seed, e.Err) }

// Unwrap returns what is wrong with the server.
func (e *DrawError) Unwrap() error { return e.Err }

// Draw draws the realization of a seed. The order of the draws must not change: seeds would give other
// realizations. It fails with a *DrawError only. It may be called from any goroutine.
func (s *Scenario) Draw(seed uint64) (*Realization, error) {
	rng := Stream(seed, "site")
	realization := &Realization{
		Name:          s.Name,
		Seed:          seed,
		Length:        seconds(s.LengthS.draw(rng)),
		Tick:          millis(s.TickMS.draw(rng)),
		Zones:         s.Zones.Names,
		ClientDelay:   millis(s.Zones.ClientMS.draw(rng)),
		Jitter:        s.Zones.Jitter.draw(rng),
		FailoverDelay: seconds(s.Balancers.FailoverDelayS.draw(rng)),
	}
	realization.drawNetwork(s, rng)
	figures := Stream(seed, "figures") // one stream for four tables, in this order
	realization.drawRules(&s.Rules, figures)
	realization.drawClients(&s.Clients, figures)
	realization.drawDiscovery(&s.Discovery, figures)
	realization.drawScore(&s.Score, figures)
	if err := realization.drawServers(s, Stream(seed, "fleet")); err != nil {
		return nil, err
	}
	realization.drawClasses(s, Stream(seed, "classes"))
	realization.Settings = realization.moduleSettings(&s.Balancers)
	realization.drawBalancers(&s.Balancers, rng, Stream(seed, "starts"))
	realization.drawTraffic(&s.Traffic, Stream(seed, "traffic"))
	realization.drawFaults(s, seed)
	return realization, nil
}

// drawNetwork draws the delays within each zone and between each two zones.
func (r *Realization) drawNetwork(scenario *Scenario, rng *rand.Rand) {
	zones := len(r.Zones)
	r.Delay = make([][]time.Duration, zones)
	same := millis(scenario.Zones.SameMS.draw(rng))
	for i := range r.Delay {
		r.Delay[i] = make([]time.Duration, zones)
		r.Delay[i][i] = same
		for j := range i {
			r.Delay[i][j] = millis(scenario.Zones.CrossMS.draw(rng))
			r.Delay[j][i] = r.Delay[i][j]
		}
	}
}

func (r *Realization) drawRules(rules *Rules, rng *rand.Rand) {
	r.Rules = DrawnRules{
		ResponseSlack:      millis(rules.ResponseSlackMS.draw(rng)),
		PollInterval:       millis(rules.PollIntervalMS.draw(rng)),
		DrainGrace:         millis(rules.DrainGraceMS.draw(rng)),
		DialTimeout:        millis(rules.DialTimeoutMS.draw(rng)),
		HealthCheckTimeout: millis(rules.HealthCheckTimeoutMS.draw(rng)),
		KeepAlive:          millis(rules.KeepaliveMS.draw(rng)),
		SlowStartCapacity:  rules.SlowStartCapacity.draw(rng),
		SlowStartDuration:  millis(rules.SlowStartMS.draw(rng)),
		Collapse: servermodel.Collapse{
			Multiple: rules.CollapseMultiple.draw(rng),
			For:      millis(rules.CollapseWindowMS.draw(rng)),
		},
	}
}

func (r *Realization) drawClients(clients *Clients, rng *rand.Rand) {
	r.Clients = DrawnClients{
		Retries:              clients.Retries.draw(rng),
		Backoff:              millis(clients.BackoffMS.draw(rng)),
		AttemptTimeoutShare:  clients.AttemptTimeoutShare.draw(rng),
		RetryAfterShare:      clients.RetryAfterShare.draw(rng),
		EarlyDisconnectShare: clients.EarlyDisconnectShare.draw(rng),
		MarksRetry:           clients.MarksRetry,
	}
}

func (r *Realization) drawDiscovery(discovery *Discovery, rng *rand.Rand) {
	r.Discovery = DrawnDiscovery{
		Push:                  discovery.Push,
		RemovalDelay:          seconds(discovery.RemovalDelayS.draw(rng)),
		FailureDetectionDelay: seconds(discovery.FailureDetectionDelayS.draw(rng)),
		AddDelay:              seconds(discovery.AddDelayS.draw(rng)),
		PublishInterval:       millis(discovery.PublishIntervalMS.draw(rng)),
		DeliverySpread:        millis(discovery.DeliverySpreadMS.draw(rng)),
		CallTimeout:           millis(discovery.TimeoutMS.draw(rng)),
		CallsPerSec:           discovery.CallsPerS.draw(rng),
		LinesPerCall:          discovery.LinesPerCall.draw(rng),
	}
}

func (r *Realization) drawScore(score *Score, rng *rand.Rand) {
	r.Score = DrawnScore{
		WholeRun:     score.WholeRun.draw(rng),
		WorstWindow:  score.WorstWindow.draw(rng),
		WorstClass:   score.WorstClass.draw(rng),
		Window:       seconds(score.WindowS.draw(rng)),
		ByWork:       score.WeightBy == "work",
		Waste:        score.Waste.draw(rng),
		LateFail:     score.LateFail.draw(rng),
		CrossZone:    score.CrossZone.draw(rng),
		HealthChecks: score.HealthChecks.draw(rng),
		Overloaded:   score.Overloaded.draw(rng),
	}
}

// drawBalancers draws when the balancers start: the spread from the site's stream, each start within
// it from the stream of starts.
func (r *Realization) drawBalancers(balancers *Balancers, site, starts *rand.Rand) {
	spread := balancers.StartSpreadMS.draw(site)
	for i := range balancers.Count {
		r.Balancers = append(r.Balancers, Balancer{Zone: i % len(r.Zones), Start: millis(starts.Float64() * spread)})
	}
}

// moduleSettings returns the settings of the decision module. It draws nothing.
func (r *Realization) moduleSettings(balancers *Balancers) piernotch.Settings {
	settings := piernotch.Settings{
		BalancerCount: balancers.Count,
		Zones:         r.Zones,
		Tick:          r.Tick,
		PollDiscovery: !r.Discovery.Push,
		Limits: piernotch.Limits{
			MaxAttempts:    balancers.MaxAttempts,
			HedgedRequests: balancers.HedgedRequests,
			CancelAttempts: balancers.Cancel,
			HealthChecks:   balancers.HealthChecks,
			RetryAfter:     balancers.RetryAfter,
			MaxRetryAfter:  millis(balancers.MaxRetryAfterMS.From),
		},
		Rules: piernotch.Rules{
			PollInterval:      r.Rules.PollInterval,
			SlowStartCapacity: r.Rules.SlowStartCapacity,
			SlowStartDuration: r.Rules.SlowStartDuration,
			OverloadWindow:    r.Rules.Collapse.For,
		},
		OverQuotaWeight: 0.1,
	}
	for _, class := range r.Classes {
		settings.Classes = append(settings.Classes, class.Class)
	}
	for i := range r.kinds {
		if r.kinds[i].kind.Keys.WorkSaved > 0 {
			settings.KeyAffinity = true
		}
	}
	return settings
}

// drawTraffic draws the traffic. Its rate follows from the load where it is not set; servers and
// classes must have been drawn.
func (r *Realization) drawTraffic(traffic *Traffic, rng *rand.Rand) {
	r.Traffic = DrawnTraffic{
		RequestsPerSecond: traffic.RatePerS.draw(rng),
		Shape:             traffic.Shape,
		Amplitude:         traffic.Amplitude.draw(rng),
		Period:            seconds(traffic.PeriodS.draw(rng)),
		Phase:             rng.Float64(),
		Keys:              int(traffic.Keys.draw(rng)),
		KeyZipf:           traffic.KeyZipf.draw(rng),
		Hints:             traffic.Hints,
		HintCV:            traffic.HintCV.draw(rng),
		Trace:             traffic.Trace,
	}
	load := traffic.Load.draw(rng)
	if r.Traffic.RequestsPerSecond == 0 && r.MeanWork() > 0 {
		r.Traffic.RequestsPerSecond = load * r.Capacity() / r.MeanWork()
	}
	skew := traffic.ZoneSkew.draw(rng)
	sum := 0.0
	for range r.Zones {
		sum += 1 + skew*(2*rng.Float64()-1)
		r.Traffic.Zones = append(r.Traffic.Zones, sum)
	}
	for i := range r.Traffic.Zones {
		r.Traffic.Zones[i] /= sum
	}
}
