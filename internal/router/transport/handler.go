package transport

import "cresshub/internal/router/peerproto"

// Handler handles the frames that callers send. Its methods run on the goroutine that reads the connection,
// so they may run concurrently for different connections, and a slow call must be answered from another
// goroutine.
type Handler interface {
	// Handle handles a frame other than a Hello.
	Handle(c *Conn, frame peerproto.Frame)
	// Closed is called after the connection has ended and its last frame was handled.
	Closed(c *Conn)
}

// serveConn passes a caller's frames to the handler until the connection ends.
func serveConn(c *Conn, handler Handler) {
	c.readLoop(func(frame peerproto.Frame) {
		if frame.Kind == peerproto.KindHello {
			c.handleHello(frame.Body)
			return
		}
		handler.Handle(c, frame)
	})
	handler.Closed(c)
}

// handleHello records the caller's id, and closes the connection if the Hello can't be decoded.
func (c *Conn) handleHello(body []byte) {
	var hello peerproto.Hello
	if peerproto.Decode(body, &hello) != nil {
		c.Close()
		return
	}
	c.peer = hello.ID
}
