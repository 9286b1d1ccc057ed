//go:build router_only

package cli

import "github.com/alecthomas/kong"

// trialCommands are left out of a program for the router alone.
type trialCommands struct{}

func trialVars() kong.Vars { return kong.Vars{} }
