// Command cresshub is a client proxy, with subcommands to run it, check its configuration and run trials. See
// package cli.
package main

import (
	"os"

	"cresshub/internal/proxy/cli"
)

func main() {
	var signals <-chan os.Signal
	if args := os.Args[1:]; len(args) == 0 || args[0] == "serve" {
		signals = cli.Signals() // registered first: an unhandled signal ends the process
	}
	os.Exit(cli.Main(os.Args[1:], signals, os.Stdout, os.Stderr))
}
