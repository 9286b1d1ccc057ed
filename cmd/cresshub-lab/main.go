// Command cresshub-lab tries designs on an emulated fleet, and plays faults between real processes of the
// client proxy (rig). See package labcli for the commands and package clusterrig for the rig.
package main

import (
	"os"

	"cresshub/internal/simulation/labcli"
)

func main() { os.Exit(labcli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
