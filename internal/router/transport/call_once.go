package transport

import (
	"bufio"
	"time"

	"cresshub/internal/router/peerproto"
)

// singleCallID is the id of the only call on a connection that CallOnce opens.
const singleCallID = 1

// CallOnce makes one call over a dedicated connection and returns the answer. It is meant for processes that
// are called too rarely to keep a Link to them. The timeout covers connecting and the call. Errors are those
// of the network or of peerproto.WriteFrame and peerproto.ReadFrame.
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
