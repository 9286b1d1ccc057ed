package dataplane

import (
	"io"
	"time"
)

const (
	// lingerTime and lingerBytes bound what is read of a client after the response to a request that was
	// not read completely: closing at once would reset the connection, and the response with it.
	lingerTime  = 250 * time.Millisecond
	lingerBytes = 256 << 10
)

// needsLinger reports whether the client may have sent what was not read. After an incomplete response
// nothing is read any more: the client must see that it broke off.
func (c *client) needsLinger() bool {
	if c.truncated {
		return false
	}
	return c.mustLinger || c.socket.hasBufferedInput() || c.socket.readState() == readable
}

// linger ends the sending and reads what the client still sends, for a bounded time.
func (c *client) linger() {
	half, ok := c.socket.NetConn().(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	c.socket.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, c.socket.reader(), lingerBytes) // the connection is over however it ends
}
