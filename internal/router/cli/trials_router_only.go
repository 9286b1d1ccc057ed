//go:build router_only

package cli

import "github.com/alecthomas/kong"

// trialCommands is empty in a program that is built with the tag router_only.
type trialCommands struct{}

func trialVars() kong.Vars { return kong.Vars{} }
