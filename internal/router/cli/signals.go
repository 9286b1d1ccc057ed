package cli

import (
	"os"
	"os/signal"
	"syscall"
)

// signalBuffer is how many signals wait to be minded.
const signalBuffer = 16

// listenForSignals listens for those that a process of the fleet minds. It is called before anything else,
// for a signal that nobody listens for ends the process. That of a pipe without a reader is ignored: the end
// of whoever reads the log is no reason to end.
func listenForSignals() <-chan os.Signal {
	signal.Ignore(syscall.SIGPIPE)
	signals := make(chan os.Signal, signalBuffer)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return signals
}
