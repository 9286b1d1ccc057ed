package dataplane

import (
	"io"
	"time"
)

const (
	// maxLingerTime and maxLingerBytes bound what is read from a client after the response to a request that
	// was not read completely. Closing the connection with unread bytes would reset it, and the client could
	// lose the response.
	maxLingerTime  = 250 * time.Millisecond
	maxLingerBytes = 256 << 10
)

// needsLinger reports whether the client may have sent bytes that were not read. After an incomplete response
// it returns false: lingering would end the connection in order, and the client must see that the response
// was broken off.
func (c *client) needsLinger() bool {
	if c.truncated {
		return false
	}
	return c.mustLinger || c.socket.hasBufferedInput() || c.socket.readState() == readable
}

// linger half-closes the connection, and reads and discards what the client still sends, within the bounds of
// time and bytes.
func (c *client) linger() {
	half, ok := c.socket.NetConn().(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	c.socket.SetReadDeadline(time.Now().Add(maxLingerTime))
	_, _ = io.CopyN(io.Discard, c.socket.reader(), maxLingerBytes) // the connection is closed either way
}
