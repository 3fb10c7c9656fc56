package main

import "piernotch/internal/lab/scenario"

type scenarioCmd struct {
	List  scenarioListCmd  `cmd:"" help:"List the shipped scenarios."`
	Check scenarioCheckCmd `cmd:"" help:"Check scenario files; all problems are printed, with file and line."`
}

type scenarioListCmd struct{}

func (*scenarioListCmd) Run(std *streams) error {
	for _, name := range scenario.Shipped() {
		loaded, err := scenario.Load(name)
		if err != nil {
			return err
		}
		std.out.Printf("%-18s %s\n", name, loaded.About)
	}
	return nil
}

type scenarioCheckCmd struct {
	Files []string `arg:"" help:"Files, or names of shipped scenarios."`
	Seeds int      `default:"3" help:"Number of realizations of each that are drawn, too."`
}

func (c *scenarioCheckCmd) Run(std *streams) error {
	failed := false
	for _, file := range c.Files {
		loaded, err := c.check(file)
		if err != nil {
			failed = true
			std.err.Println(err)
			continue
		}
		std.out.Printf(
			"%s: valid: %d balancers, %d servers, %d faults\n",
			file,
			loaded.Balancers.Count,
			loaded.Fleet.Servers,
			len(loaded.Faults),
		)
	}
	if failed {
		return errFailed
	}
	return nil
}

// check loads a scenario and draws its first seeds.
func (c *scenarioCheckCmd) check(file string) (*scenario.Scenario, error) {
	loaded, err := scenario.Load(file)
	if err != nil {
		return nil, err
	}
	for seed := range uint64(c.Seeds) {
		if _, err := loaded.Draw(seed); err != nil {
			return nil, err
		}
	}
	return loaded, nil
}
