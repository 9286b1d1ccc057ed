// Command cresshub-lab evaluates designs on an emulated fleet, and injects faults between real processes of
// the client proxy (rig). Package labcli implements the commands, package clusterrig the fault injection.
package main

import (
	"os"

	"cresshub/internal/simulation/labcli"
)

func main() { os.Exit(labcli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
