//go:build router_only

package cli

import "github.com/alecthomas/kong"

// trialCommands are the commands that a program of the router alone does not have.
type trialCommands struct{}

func trialVars() kong.Vars { return kong.Vars{} }
