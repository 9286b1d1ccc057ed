// Package acceptloop accepts connections until a listener closes, whatever fails meanwhile. A process that
// is short of descriptors or memory, or whose client has disconnected while it was in the backlog, fails to
// accept one connection; a loop that ended at that would make the process unreachable until it is
// restarted.
package acceptloop

import (
	"errors"
	"net"
	"time"
)

// The backoff after failures doubles within these bounds, as descriptors may become free at any moment.
const (
	minBackoff = 5 * time.Millisecond
	maxBackoff = 100 * time.Millisecond
)

// Run calls handle with each connection until the listener closes, and then returns net.ErrClosed. It calls
// onError, which may be nil, with each failure. Both are called by Run's goroutine, which accepts no
// further connection meanwhile.
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
