// Command cresshub-fleet runs and inspects the processes of a router fleet.
package main

import (
	"os"

	"cresshub/internal/router/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
