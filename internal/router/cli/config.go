package cli

import (
	"fmt"
	"os"
	"strings"

	"cresshub/internal/router/fleetconfig"
)

// configCommand groups the commands on configurations.
type configCommand struct {
	Check configCheckCommand `cmd:"" help:"Name every mistake of a configuration file, as the fleet would."`
	Show  configShowCommand  `cmd:"" help:"Show the newest acknowledged configuration."`
}

type configCheckCommand struct {
	File  string `arg:"" help:"A configuration as it is sent to /api/config." type:"existingfile"`
	Patch string `help:"A patch as it is sent to /api/config, checked on top of the file." type:"existingfile"`
	JSON  bool   `help:"Print the configuration that results as JSON."`
}

// Run parses the files as the fleet itself does, and prints a summary or every error.
func (c *configCheckCommand) Run(out *output) error {
	config, err := c.read()
	if err != nil {
		return err
	}
	if c.JSON {
		_, err := fmt.Fprintf(out.stdout, "%s\n", config.Raw())
		return err
	}
	// If the write fails, the exit code still reports that the configuration is valid.
	_, _ = fmt.Fprintf(out.stdout, "version %d: %d routes, %d services, no mistakes\n", config.Version,
		config.RouteCount(), len(config.Services))
	return nil
}

// read returns the configuration of the file, with the patch applied if one is given.
func (c *configCheckCommand) read() (*fleetconfig.Config, error) {
	raw, err := os.ReadFile(c.File)
	if err != nil {
		return nil, err
	}
	config, err := fleetconfig.Parse(raw)
	if err != nil || c.Patch == "" {
		return config, err
	}
	body, err := os.ReadFile(c.Patch)
	if err != nil {
		return nil, err
	}
	next, err := config.ParseAndApply(body)
	if err != nil {
		return nil, err
	}
	return next, next.CheckSize()
}

type configShowCommand struct{ controlFlags }

// Run prints a row for each route, or the document as the operator sent it.
func (c *configShowCommand) Run(out *output) error {
	document, err := c.fetch("/api/config")
	if err != nil {
		return err
	}
	if c.JSON {
		_, err := fmt.Fprintf(out.stdout, "%s\n", document)
		return err
	}
	config, err := fleetconfig.Parse(document)
	if err != nil {
		return fmt.Errorf("parse the configuration in force: %w", err)
	}
	table := newTable("ROUTE", "HOST", "PREFIX", "KIND", "TIMEOUT", "ATTEMPTS", "SERVICES")
	for _, route := range config.Routes() {
		table.add(route.Name, route.Host, route.Prefix, kindText(route), route.Timeout, route.MaxAttempts,
			targetsText(route))
	}
	return table.printUnder(out.stdout, fmt.Sprintf("version %d: %d routes, %d services", config.Version,
		config.RouteCount(), len(config.Services)))
}

// kindText describes the kind of a route.
func kindText(route *fleetconfig.Route) string {
	if route.Kind == fleetconfig.Stream && route.Resumable {
		return "stream, resumable"
	}
	return string(route.Kind)
}

// targetsText lists the services of a route, with their weights in percent if there are several.
func targetsText(route *fleetconfig.Route) string {
	var names []string
	for _, target := range route.Targets {
		name := target.Service
		if len(route.Targets) > 1 {
			name += fmt.Sprintf(" %.0f%%", 100*target.Weight/route.TotalWeight)
		}
		names = append(names, name)
	}
	return strings.Join(names, ", ")
}
