// Command cresshub-fleet runs and inspects the processes of a router fleet, and tries a small fleet on this
// machine (try, soak). See package router/cli for the commands and package routertrial for trials.
package main

import (
	"os"

	"cresshub/internal/router/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
