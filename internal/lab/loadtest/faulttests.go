package loadtest

import (
	"fmt"
	"slices"
	"strings"

	"piernotch/internal/lab/scenario"
)

// FaultTest is a short scenario that tests the recovery from a fault.
type FaultTest struct {
	Name         string
	Description  string
	scenarioText string // TOML added to the base scenario
}

// Times of a fault test, in seconds.
const (
	FaultTime       = 12 // when the fault begins
	FaultTestLength = 45 // length of the run
)

// balancerFault returns the scenario text for a number of balancers with one fault of a kind.
func balancerFault(balancers int, kind, settings string) string {
	return fmt.Sprintf("[balancers]\ncount = %d\n%s", balancers, fault(kind, settings))
}

// fault returns the scenario text of one fault of a kind at FaultTime.
func fault(kind, settings string) string {
	return fmt.Sprintf("[[trouble]]\nkind = %q\nat_s = %d\n%s", kind, FaultTime, settings)
}

// FaultTests returns tests of faults that a service must recover from by itself, and one test without a fault.
func FaultTests() []FaultTest {
	return slices.Concat(
		[]FaultTest{{"none", "nothing goes wrong", ""}},
		balancerFaultTests(), serverFaultTests(), discoveryFaultTests(),
	)
}

func balancerFaultTests() []FaultTest {
	return []FaultTest{
		{
			"kill-1-of-2",
			"one of two balancers is killed, and started again after 3 s",
			balancerFault(2, faultBalancerCrash, "for_s = 3\npart = 0.5\n"),
		},
		{
			"kill-1-of-4",
			"one of four is killed, and started again after 3 s",
			balancerFault(4, faultBalancerCrash, "for_s = 3\npart = 0.25\n"),
		},
		{
			"kill-1-of-10",
			"one of ten is killed, and started again after 3 s",
			balancerFault(10, faultBalancerCrash, "for_s = 3\npart = 0.1\n"),
		},
		{
			"restart-1-of-2",
			"one of two is restarted, down for 2 s",
			balancerFault(2, faultBalancerRestart, "for_s = 2\npart = 0.5\n"),
		},
		{
			"restart-4-in-order",
			"four are restarted, 4 s apart",
			balancerFault(4, faultBalancerRestart, "for_s = 1\npart = 1\nevery_s = 4\n"),
		},
		{
			"restart-4-together",
			"four are restarted within one second",
			balancerFault(4, faultBalancerRestart, "for_s = 1\npart = 1\nevery_s = 0.3\n"),
		},
	}
}

func serverFaultTests() []FaultTest {
	return []FaultTest{
		{
			"server-crash",
			"an eighth of the servers crash, in slow start after 3 s",
			fault("crash", "for_s = 3\npart = 0.125\n"),
		},
		{
			"server-vanish",
			"an eighth of the servers fall silent for 12 s",
			fault("vanish", "for_s = 12\npart = 0.125\n"),
		},
		{
			"server-replace",
			"a quarter of the servers are replaced over 8 s",
			fault("replace", "for_s = 8\npart = 0.25\nramp_s = 3\n"),
		},
		{"server-takeover", "a quarter of the servers crash and new ones come up at their addresses",
			fault("takeover", "for_s = 4\npart = 0.25\nramp_s = 1\n")},
		{
			"zone-crash",
			"all servers of a zone crash, in slow start after 8 s",
			fault("crash", "for_s = 8\npart = 1\nzone = \"adama\"\n"),
		},
		{"choke-half", "half of the servers are overloaded", fault("choke", "part = 0.5\n")},
	}
}

func discoveryFaultTests() []FaultTest {
	return []FaultTest{
		{"discovery-down", "discovery is down for 30 s", fault("discovery_outage", "for_s = 30\n")},
		{"discovery-down-in-drain", "discovery is down for 10 s while a quarter of the servers drain",
			fault("discovery_outage", "for_s = 10\n") + fault("leave", "for_s = 3\npart = 0.25\nramp_s = 6\n")},
		{
			"discovery-lies",
			"the endpoint list loses half of the servers by mistake for 4 s",
			fault("list_loss", "for_s = 4\npart = 0.5\n"),
		},
		{"discovery-moves", "discovery moves to another address, set by a reload", fault(faultDiscoveryMove, "")},
	}
}

// Scenario returns the fault test as a scenario.
func (t FaultTest) Scenario() (*scenario.Scenario, error) {
	return t.parse("fault test "+t.Name, t.scenarioText)
}

// Control returns the scenario without the fault: for a seed it has the same servers and traffic. Equal texts mean
// equal controls.
func (t FaultTest) Control() (s *scenario.Scenario, text string, err error) {
	text, _, _ = strings.Cut(t.scenarioText, "[[trouble]]")
	s, err = t.parse("control", text)
	return s, text, err
}

func (t FaultTest) parse(name, text string) (*scenario.Scenario, error) {
	head := fmt.Sprintf(
		"name = %q\nabout = %q\ninclude = \"base\"\nlength_s = %d\n[traffic]\nload = 0.6\nshape = \"steady\"\n",
		name,
		t.Description,
		FaultTestLength,
	)
	return scenario.Parse(name, []byte(head+text))
}
