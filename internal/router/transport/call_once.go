package transport

import (
	"bufio"
	"time"

	"cresshub/internal/router/peerproto"
)

// singleCallID is the id of the only call of its connection.
const singleCallID = 1

// CallOnce makes one call over a connection of its own, and returns the answer. It is for processes that are
// called too seldom to keep a link to them. The timeout is for all of it; the errors are those of the
// network.
func (e *Endpoint) CallOnce(address string, hello []byte, kind peerproto.Kind, body []byte,
	timeout time.Duration) (peerproto.Frame, error) {
	deadline := time.Now().Add(timeout)
	conn, err := e.network.Dial(address, timeout)
	if err != nil {
		return peerproto.Frame{}, err
	}
	defer conn.Close()
	setUserTimeout(conn)
	if err := conn.SetDeadline(deadline); err != nil {
		return peerproto.Frame{}, err
	}
	out := bufio.NewWriterSize(conn, bufferSize)
	frames := []peerproto.Frame{
		{Kind: peerproto.KindHello, Body: hello},
		{Kind: kind, CallID: singleCallID, Body: body},
	}
	for _, frame := range frames {
		e.traffic.sent.count(&frame)
		if err := peerproto.WriteFrame(out, frame); err != nil {
			return peerproto.Frame{}, err
		}
	}
	answer, err := peerproto.ReadFrame(bufio.NewReaderSize(conn, bufferSize))
	if err == nil {
		e.traffic.received.count(&answer)
	}
	return answer, err
}
