package loadtest

import (
	"fmt"
	"strings"

	"piernotch/internal/lab/scenario"
	"piernotch/internal/lab/simulation"
)

// FaultTest is one failure that matters, played alone on an ordinary day.
type FaultTest struct {
	Name         string
	Description  string
	scenarioText string
}

// DrillAt is when a drill's failure comes, s; the day is DrillLength long.
const (
	FaultTime       = 12
	FaultTestLength = 45
)

func balancerFault(n int, kind, more string) string {
	return fmt.Sprintf("[balancers]\ncount = %d\n[[trouble]]\nkind = %q\nat_s = %d\n%s", n, kind, FaultTime, more)
}

func fault(kind, more string) string {
	return fmt.Sprintf("[[trouble]]\nkind = %q\nat_s = %d\n%s", kind, FaultTime, more)
}

// FaultTests are the failures that a service must get over by itself.
func FaultTests() []FaultTest {
	return []FaultTest{
		{"none", "nothing goes wrong", ""},
		{"kill-1-of-2", "one of two balancers is killed, back after 3 s", balancerFault(2, "balancer_crash", "for_s = 3\npart = 0.5\n")},
		{"kill-1-of-4", "one of four is killed, back after 3 s", balancerFault(4, "balancer_crash", "for_s = 3\npart = 0.25\n")},
		{"kill-1-of-10", "one of ten is killed, back after 3 s", balancerFault(10, "balancer_crash", "for_s = 3\npart = 0.1\n")},
		{"restart-1-of-2", "one of two is restarted, away for 2 s", balancerFault(2, "balancer_restart", "for_s = 2\npart = 0.5\n")},
		{"restart-4-in-order", "four are restarted, 4 s apart", balancerFault(4, "balancer_restart", "for_s = 1\npart = 1\nevery_s = 4\n")},
		{"restart-4-together", "four are restarted within one second", balancerFault(4, "balancer_restart", "for_s = 1\npart = 1\nevery_s = 0.3\n")},
		{"server-crash", "an eighth of the servers crash, back cold after 3 s", fault("crash", "for_s = 3\npart = 0.125\n")},
		{"server-vanish", "an eighth of the servers fall silent for 12 s", fault("vanish", "for_s = 12\npart = 0.125\n")},
		{"server-replace", "a quarter of the servers are replaced over 8 s", fault("replace", "for_s = 8\npart = 0.25\nramp_s = 3\n")},
		{"server-takeover", "a quarter of the servers crash and new ones come up at their addresses",
			fault("takeover", "for_s = 4\npart = 0.25\nramp_s = 1\n")},
		{"zone-crash", "all servers of a zone crash, back cold after 8 s", fault("crash", "for_s = 8\npart = 1\nzone = \"adama\"\n")},
		{"choke-half", "half of the servers are choked", fault("choke", "part = 0.5\n")},
		{"discovery-down", "discovery is down for 30 s", fault("discovery_outage", "for_s = 30\n")},
		{"discovery-down-in-drain", "discovery is down for 10 s while a quarter of the servers leave",
			fault("discovery_outage", "for_s = 10\n") + fault("leave", "for_s = 3\npart = 0.25\nramp_s = 6\n")},
		{"discovery-lies", "the list loses half of the fleet by mistake for 4 s", fault("list_loss", "for_s = 4\npart = 0.5\n")},
		{"discovery-moves", "discovery moves to another address, told by a reload", fault("roster_move", "")},
	}
}

// Scenario is the drill as something that model and rehearsal play.
func (d FaultTest) Scenario() (*scenario.Scenario, error) {
	return d.parse("drill "+d.Name, d.scenarioText)
}

// Control is the same day without the failure: the same servers and traffic for a seed.
// Drills with equal control texts have equal controls.
func (d FaultTest) Control() (s *scenario.Scenario, text string, err error) {
	text, _, _ = strings.Cut(d.scenarioText, "[[trouble]]")
	s, err = d.parse("control", text)
	return s, text, err
}

func (d FaultTest) parse(name, text string) (*scenario.Scenario, error) {
	head := fmt.Sprintf("name = %q\nabout = %q\ninclude = \"base\"\nlength_s = %d\n[traffic]\nload = 0.6\nshape = \"steady\"\n", name, d.Description, FaultTestLength)
	return scenario.Parse(name, []byte(head+text))
}

// Recovery is how a day went from the moment of its failure on, against its control.
type Recovery struct {
	Served         float64 // worth served in time, as a share of the control's
	Worst          float64 // the same over the worst 3 s
	RecoveredAfter float64 // s until the last 3 s with less than 95% of the control's were over; 0: there were none
	Rejected       float64 // share of the tries that were refused
	Failed         float64 // and that failed, or found no balancer
}

// MeasureRecovery measures a day whose failure came at a second. Both days are of one seed.
func MeasureRecovery(r, control *simulation.Result, at int) Recovery {
	n := min(len(r.Seconds), len(control.Seconds))
	ratio := func(from, to int) float64 {
		got, want := 0.0, 0.0
		for i := from; i < to; i++ {
			got, want = got+r.Seconds[i].Served, want+control.Seconds[i].Served
		}
		if want == 0 {
			return 1
		}
		return got / want
	}
	const span = 3 // s: a single one holds few requests
	out := Recovery{Served: ratio(at, n), Worst: 1}
	for s := at; s+span <= n; s++ {
		share := ratio(s, s+span)
		out.Worst = min(out.Worst, share)
		if share < 0.95 {
			out.RecoveredAfter = float64(s + span - at)
		}
	}
	refused, failed, tries := 0, 0, 0
	for _, s := range r.Seconds[at:] {
		refused, failed, tries = refused+s.Refuse, failed+s.Fail, tries+s.Tries
	}
	if tries > 0 {
		out.Rejected, out.Failed = float64(refused)/float64(tries), float64(failed)/float64(tries)
	}
	return out
}
