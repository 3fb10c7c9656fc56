package main

import "piernotch/internal/lab/scenario"

type scenarioCmd struct {
	List  scenarioListCmd  `cmd:"" help:"List the shipped scenarios."`
	Check scenarioCheckCmd `cmd:"" help:"Check scenario files; all problems are printed, with file and line."`
}

type scenarioListCmd struct{}

func (*scenarioListCmd) Run(o *output) error {
	for _, name := range scenario.Shipped() {
		s, err := scenario.Load(name)
		if err != nil {
			return err
		}
		o.out.Printf("%-18s %s\n", name, s.About)
	}
	return nil
}

type scenarioCheckCmd struct {
	Files []string `arg:"" help:"Files, or names of shipped scenarios."`
	Seeds int      `default:"3" help:"Draw so many days of each, too."`
}

func (c *scenarioCheckCmd) Run(o *output) error {
	failed := false
	for _, file := range c.Files {
		s, err := c.check(file)
		if err != nil {
			failed = true
			o.err.Println(err)
			continue
		}
		o.out.Printf("%s: good: %d balancers, %d servers, %d troubles\n", file, s.Balancers.Count, s.Fleet.Servers, len(s.Faults))
	}
	if failed {
		return errFailed
	}
	return nil
}

// check loads a scenario and draws its first seeds.
func (c *scenarioCheckCmd) check(file string) (*scenario.Scenario, error) {
	s, err := scenario.Load(file)
	if err != nil {
		return nil, err
	}
	for seed := range uint64(c.Seeds) {
		if _, err := s.Draw(seed); err != nil {
			return nil, err
		}
	}
	return s, nil
}
