// Command cresshub-fleet runs and inspects the processes of a router fleet, and runs trials of a small fleet
// on the local machine (try, soak). Package router/cli implements the commands and package routertrial the
// trials.
package main

import (
	"os"

	"cresshub/internal/router/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
