package peerlink

import (
	"bufio"
	"time"

	"cresshub/internal/peerwire"
)

// onceCall is the number of the only call on a connection of its own.
const onceCall = 1

// CallOnce makes one call over a connection of its own, and returns the answer's frame. It is for processes
// that are called too seldom to keep a link to them.
func (e *Endpoint) CallOnce(address string, hello []byte, kind peerwire.Kind, body []byte,
	timeout time.Duration) (peerwire.Frame, error) {
	deadline := time.Now().Add(timeout)
	conn, err := e.network.Dial(address, timeout)
	if err != nil {
		return peerwire.Frame{}, err
	}
	defer conn.Close()
	setUserTimeout(conn)
	if err := conn.SetDeadline(deadline); err != nil {
		return peerwire.Frame{}, err
	}
	out := bufio.NewWriterSize(conn, bufferSize)
	for _, frame := range []peerwire.Frame{
		{Kind: peerwire.KindHello, Body: hello}, {Kind: kind, Call: onceCall, Body: body},
	} {
		add(&e.traffic.sent, &frame)
		if err := peerwire.WriteFrame(out, frame); err != nil {
			return peerwire.Frame{}, err
		}
	}
	answer, err := peerwire.ReadFrame(bufio.NewReaderSize(conn, bufferSize))
	if err == nil {
		add(&e.traffic.received, &answer)
	}
	return answer, err
}
