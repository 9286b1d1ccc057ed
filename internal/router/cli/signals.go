package cli

import (
	"os"
	"os/signal"
	"syscall"
)

// signalBuffer is how many signals are buffered until they are handled.
const signalBuffer = 16

// listenForSignals returns the signals that a process of the fleet handles. It is called before anything
// else, because a signal without a listener ends the process. SIGPIPE is ignored: that the reader of the log
// has ended is no reason to end.
func listenForSignals() <-chan os.Signal {
	signal.Ignore(syscall.SIGPIPE)
	signals := make(chan os.Signal, signalBuffer)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return signals
}
