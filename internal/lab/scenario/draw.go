package scenario

import (
	"fmt"
	"math/rand/v2"
	"time"

	"piernotch"
	"piernotch/internal/lab/servermodel"
)

// DrawError is the error of Draw: the values drawn for a seed make a machine that is not possible.
type DrawError struct {
	Seed uint64
	Err  error // of servermodel.Kind.Validate
}

// Error returns the seed and what is wrong.
func (e *DrawError) Error() string { return fmt.Sprintf("seed %d: %v", e.Seed, e.Err) }

// Unwrap returns what is wrong with the machine.
func (e *DrawError) Unwrap() error { return e.Err }

// Draw draws the instance of a seed. The order of the draws must not change: seeds would give other
// instances. It fails with a *DrawError only. It may be called from any goroutine.
func (s *Scenario) Draw(seed uint64) (*Realization, error) {
	rng := Stream(seed, "site")
	d := &Realization{
		Name:          s.Name,
		Seed:          seed,
		Length:        seconds(s.LengthS.draw(rng)),
		Tick:          millis(s.TickMS.draw(rng)),
		Zones:         s.Zones.Names,
		ClientDelay:   millis(s.Zones.ClientMS.draw(rng)),
		Jitter:        s.Zones.Jitter.draw(rng),
		FailoverDelay: seconds(s.Balancers.FrontNoticeS.draw(rng)),
	}
	d.drawNetwork(s, rng)
	figures := Stream(seed, "figures") // one stream for four tables, in this order
	d.drawRules(&s.Rules, figures)
	d.drawClients(&s.Clients, figures)
	d.drawDiscovery(&s.Discovery, figures)
	d.drawScore(&s.Score, figures)
	if err := d.drawServers(s, Stream(seed, "fleet")); err != nil {
		return nil, err
	}
	d.drawClasses(s, Stream(seed, "classes"))
	d.Settings = d.moduleSettings(&s.Balancers)
	d.drawBalancers(&s.Balancers, rng, Stream(seed, "starts"))
	d.drawTraffic(&s.Traffic, Stream(seed, "traffic"))
	d.drawFaults(s, seed)
	return d, nil
}

// drawNetwork draws the delays within each zone and between each two zones.
func (d *Realization) drawNetwork(s *Scenario, rng *rand.Rand) {
	n := len(d.Zones)
	d.Delay = make([][]time.Duration, n)
	same := millis(s.Zones.SameMS.draw(rng))
	for i := range d.Delay {
		d.Delay[i] = make([]time.Duration, n)
		d.Delay[i][i] = same
		for j := range i {
			d.Delay[i][j] = millis(s.Zones.CrossMS.draw(rng))
			d.Delay[j][i] = d.Delay[i][j]
		}
	}
}

func (d *Realization) drawRules(r *Rules, rng *rand.Rand) {
	d.Rules = DrawnRules{
		ResponseSlack:      millis(r.AnswerSlackMS.draw(rng)),
		PollInterval:       millis(r.AskWithinMS.draw(rng)),
		DrainGrace:         millis(r.DrainGraceMS.draw(rng)),
		DialTimeout:        millis(r.DialTimeoutMS.draw(rng)),
		HealthCheckTimeout: millis(r.ProbeTimeoutMS.draw(rng)),
		KeepAlive:          millis(r.KeepaliveMS.draw(rng)),
		SlowStartCapacity:  r.ColdFrom.draw(rng),
		SlowStartDuration:  millis(r.ColdMS.draw(rng)),
		Collapse: servermodel.Collapse{
			Multiple: r.FallMultiple.draw(rng),
			For:      millis(r.FallMS.draw(rng)),
		},
	}
}

func (d *Realization) drawClients(c *Clients, rng *rand.Rand) {
	d.Clients = DrawnClients{
		Retries:              c.Retries.draw(rng),
		Backoff:              millis(c.BackoffMS.draw(rng)),
		AttemptTimeoutShare:  c.TryShare.draw(rng),
		RetryAfterShare:      c.Honour.draw(rng),
		EarlyDisconnectShare: c.Impatient.draw(rng),
		MarksRetry:           c.MarksRetry,
	}
}

func (d *Realization) drawDiscovery(v *Discovery, rng *rand.Rand) {
	d.Discovery = DrawnDiscovery{
		Push:                  v.Push,
		RemovalDelay:          seconds(v.NoticeS.draw(rng)),
		FailureDetectionDelay: seconds(v.SilentS.draw(rng)),
		AddDelay:              seconds(v.AddS.draw(rng)),
		PublishInterval:       millis(v.PeriodMS.draw(rng)),
		DeliverySpread:        millis(v.SpreadMS.draw(rng)),
		CallTimeout:           millis(v.TimeoutMS.draw(rng)),
		CallsPerSec:           v.CallsPerS.draw(rng),
		LinesPerCall:          v.CallLines.draw(rng),
	}
}

func (d *Realization) drawScore(g *Score, rng *rand.Rand) {
	d.Score = DrawnScore{
		Whole:        g.Whole.draw(rng),
		WorstWindow:  g.WorstWindow.draw(rng),
		WorstClass:   g.WorstClass.draw(rng),
		Window:       seconds(g.WindowS.draw(rng)),
		ByWork:       g.WorthBy == "work",
		Waste:        g.Waste.draw(rng),
		LateFail:     g.LateFail.draw(rng),
		CrossZone:    g.CrossZone.draw(rng),
		HealthChecks: g.Probe.draw(rng),
		Overloaded:   g.Choke.draw(rng),
	}
}

// drawBalancers draws when the balancers start: the spread from the site's stream, each start within
// it from the stream of starts.
func (d *Realization) drawBalancers(b *Balancers, site, starts *rand.Rand) {
	spread := b.StartSpreadMS.draw(site)
	for i := range b.Count {
		d.Balancers = append(d.Balancers, Balancer{Zone: i % len(d.Zones), Start: millis(starts.Float64() * spread)})
	}
}

// moduleSettings returns the settings of the decision module. It draws nothing.
func (d *Realization) moduleSettings(b *Balancers) piernotch.Settings {
	settings := piernotch.Settings{
		BalancerCount: b.Count,
		Zones:         d.Zones,
		Tick:          d.Tick,
		PollDiscovery: !d.Discovery.Push,
		Limits: piernotch.Limits{
			MaxAttempts:    b.MaxAttempts,
			HedgedRequests: b.SecondCopies,
			CancelAttempts: b.Cancel,
			HealthChecks:   b.Probes,
			RetryAfter:     b.RetryAfter,
			MaxRetryAfter:  millis(b.MaxRetryAfterMS.From),
		},
		Rules: piernotch.Rules{
			PollInterval:      d.Rules.PollInterval,
			SlowStartCapacity: d.Rules.SlowStartCapacity,
			SlowStartDuration: d.Rules.SlowStartDuration,
			OverloadWindow:    d.Rules.Collapse.For,
		},
		OverQuotaWeight: 0.1,
	}
	for _, class := range d.Classes {
		settings.Classes = append(settings.Classes, class.Class)
	}
	for i := range d.kinds {
		if d.kinds[i].kind.Keys.WorkSaved > 0 {
			settings.KeyAffinity = true
		}
	}
	return settings
}

// drawTraffic draws the traffic. Its rate follows from the load where it is not set; servers and
// classes must have been drawn.
func (d *Realization) drawTraffic(t *Traffic, rng *rand.Rand) {
	d.Traffic = DrawnTraffic{
		RequestsPerSecond: t.RatePerS.draw(rng),
		Shape:             t.Shape,
		Amplitude:         t.Swing.draw(rng),
		Period:            seconds(t.PeriodS.draw(rng)),
		Phase:             rng.Float64(),
		Keys:              int(t.Keys.draw(rng)),
		KeyZipf:           t.KeyZipf.draw(rng),
		Hints:             t.Hints,
		HintCV:            t.HintCV.draw(rng),
		Trace:             t.Trace,
	}
	load := t.Load.draw(rng)
	if d.Traffic.RequestsPerSecond == 0 && d.MeanWork() > 0 {
		d.Traffic.RequestsPerSecond = load * d.Capacity() / d.MeanWork()
	}
	skew := t.ZoneSkew.draw(rng)
	sum := 0.0
	for range d.Zones {
		sum += 1 + skew*(2*rng.Float64()-1)
		d.Traffic.Zones = append(d.Traffic.Zones, sum)
	}
	for i := range d.Traffic.Zones {
		d.Traffic.Zones[i] /= sum
	}
}
