package transport

import "cresshub/internal/router/peerproto"

// Handler handles the frames that callers send. Its methods run on the goroutine that reads the connection,
// so they may run at the same time for different connections, and a call that takes long has to be answered
// by another goroutine.
type Handler interface {
	// Handle handles a frame other than a Hello.
	Handle(c *Conn, frame peerproto.Frame)
	// Closed is called last, when the connection has ended.
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

// handleHello records who the caller is, and closes the connection where its Hello can't be read.
func (c *Conn) handleHello(body []byte) {
	var hello peerproto.Hello
	if peerproto.Decode(body, &hello) != nil {
		c.Close()
		return
	}
	c.peer = hello.ID
}
