package fleetcli

import (
	"os"
	"os/signal"
	"syscall"
)

// mostSignals is how many signals wait to be minded.
const mostSignals = 16

// listenForSignals listens for those that a process of the fleet minds. It is called before anything else,
// for a signal that nobody listens for ends the process.
func listenForSignals() <-chan os.Signal {
	signals := make(chan os.Signal, mostSignals)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return signals
}
