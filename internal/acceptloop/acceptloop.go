// Package acceptloop accepts connections until a listener closes, and retries after every other error. Accept
// fails for a single connection if the process is short of descriptors or memory, or if the client has
// disconnected while its connection was in the backlog. A loop that ended at such an error would make the
// process unreachable until it is restarted.
package acceptloop

import (
	"errors"
	"net"
	"time"
)

// The backoff doubles with each consecutive failure, within these bounds. They are short because
// descriptors may become free at any moment.
const (
	minBackoff = 5 * time.Millisecond
	maxBackoff = 100 * time.Millisecond
)

// Run calls handle with each connection until the listener closes, and then returns net.ErrClosed. It calls
// onError, unless that is nil, with each other error of Accept. Both functions run in Run's goroutine, which
// accepts no further connection until they return.
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
