package main

import "fmt"

type checkCmd struct{ configSource }

// Run prints a summary of a valid configuration, or returns all errors of a TOML file or the first
// error of the platform's file.
func (c *checkCmd) Run() error {
	cfg, err := c.load()
	if err != nil {
		return err
	}
	fmt.Printf("valid: %s listens on %s, polls discovery at %s, %d classes, %d servers known\n",
		cfg.Name, cfg.Listen, cfg.Discovery, len(cfg.Settings.Classes), len(cfg.KnownEndpoints.Endpoints))
	return nil
}
