// Command cresshub is a client proxy with the tools to try, check and run it; see package cli.
package main

import (
	"os"

	"cresshub/internal/proxy/cli"
)

func main() {
	var signals <-chan os.Signal
	if args := os.Args[1:]; len(args) == 0 || args[0] == "serve" {
		signals = cli.Signals() // before anything else
	}
	os.Exit(cli.Main(os.Args[1:], signals, os.Stdout, os.Stderr))
}
