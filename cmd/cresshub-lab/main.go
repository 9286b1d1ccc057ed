// Command cresshub-lab tries designs on an emulated fleet; see package labcli.
package main

import (
	"os"

	"cresshub/internal/simulation/labcli"
)

func main() { os.Exit(labcli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
