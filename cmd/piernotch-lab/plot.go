package main

import (
	"os"

	"piernotch/internal/lab/experiment"
)

type plotCmd struct {
	Result string `arg:"" type:"existingfile" help:"A result that --json kept."`
	Out    string `short:"o" required:"" placeholder:"FILE" help:"Where to; .svg, .png or .html (a report with all charts)."`         //nolint:lll // struct tags cannot be wrapped
	Chart  string `placeholder:"NAME" help:"Which chart: service, latency, servers; of a sweep: a figure. The first is the default."` //nolint:lll // struct tags cannot be wrapped
}

func (c *plotCmd) Run() error {
	file, err := experiment.ReadFile(c.Result)
	if err != nil {
		return err
	}
	data, err := experiment.Render(file, c.Out, c.Chart)
	if err != nil {
		return err
	}
	return os.WriteFile(c.Out, data, 0o644)
}
