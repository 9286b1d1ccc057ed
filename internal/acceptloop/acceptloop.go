// Package acceptloop accepts connections until a listener closes, whatever fails meanwhile. A process that is
// short of descriptors or memory, or whose caller has left while it waited, fails to accept one connection; a
// loop that ended at that would cut the process off from everybody for the rest of its life.
package acceptloop

import (
	"errors"
	"net"
	"time"
)

// The pause after a failure grows from the least to the most, as descriptors may come back at any moment.
const (
	minBackoff = 5 * time.Millisecond
	maxBackoff = 100 * time.Millisecond
)

// Run hands each connection to take until the listener closes, and then returns net.ErrClosed. Each failure
// is told to failed, which may be nil.
func Run(listener net.Listener, onError func(error), handle func(net.Conn)) error {
	backoff := minBackoff
	for {
		c, err := listener.Accept()
		if err == nil {
			backoff = minBackoff
			handle(c)
			continue
		}
		if errors.Is(err, net.ErrClosed) {
			return net.ErrClosed
		}
		if onError != nil {
			onError(err)
		}
		time.Sleep(backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}
