package upstream

import (
	"sync"
	"time"

	"cresshub/internal/http1"
)

// Stream is the rest of a response's body, which is forwarded to the client as it arrives. Only one goroutine
// at a time may read it, and Pool.Release closes it.
type Stream struct {
	conn     *conn
	body     *http1.Body
	complete chan bool // finish sends once whether the body was read to its end
	once     sync.Once
}

// Read reads the next bytes; it returns io.EOF only if the response is complete. Each call may last up to
// Limits.StallTimeout even if bytes are buffered, because these may be only the end of a chunk.
func (s *Stream) Read(p []byte) (int, error) {
	s.conn.netConn.SetReadDeadline(time.Now().Add(s.conn.pool.limits.Load().StallTimeout))
	return s.body.Read(p)
}

// finish returns the connection to its goroutine; only the first call has an effect. It does not block,
// because complete is buffered for its one value.
func (s *Stream) finish() { s.once.Do(func() { s.complete <- s.body.Complete() }) }
