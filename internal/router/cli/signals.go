package cli

import (
	"os"
	"os/signal"
	"syscall"
)

// signalBuffer is the capacity of the channel of signals that are not yet handled.
const signalBuffer = 16

// listenForSignals returns the signals that a process of the fleet handles. It is called before anything
// else, because a signal without a listener ends the process. SIGPIPE is ignored so that the process keeps
// running after the reader of its log has exited.
func listenForSignals() <-chan os.Signal {
	signal.Ignore(syscall.SIGPIPE)
	signals := make(chan os.Signal, signalBuffer)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return signals
}
