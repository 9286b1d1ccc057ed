package transport

import "cresshub/internal/router/peerproto"

// Handler takes the frames that callers send. It is called in the goroutine that reads the connection, so a
// call that takes long must be answered from another one.
type Handler interface {
	Handle(c *Conn, frame peerproto.Frame)
	Closed(c *Conn) // the connection has ended
}

func serveConn(c *Conn, handler Handler) {
	c.readLoop(func(frame peerproto.Frame) {
		if frame.Kind == peerproto.KindHello {
			var hello peerproto.Hello
			if peerproto.Decode(frame.Body, &hello) != nil {
				c.Close()
				return
			}
			c.peer = hello.ID
			return
		}
		handler.Handle(c, frame)
	})
	handler.Closed(c)
}
