package upstream

import (
	"sync"
	"time"

	"cresshub/internal/http1"
)

// Stream is the rest of a response that is passed on as it comes. It is read by one goroutine at a time, and
// Pool.Release closes it.
type Stream struct {
	conn     *conn
	body     *http1.Body
	complete chan bool // receives once whether the body was read to its end
	once     sync.Once
}

// Read reads the next bytes; io.EOF comes only where the response is complete. Each call may last
// Limits.StallTimeout, also where bytes are buffered: they may be no more than the end of a chunk.
func (s *Stream) Read(p []byte) (int, error) {
	s.conn.netConn.SetReadDeadline(time.Now().Add(s.conn.pool.limits.Load().StallTimeout))
	return s.body.Read(p)
}

// finish gives the connection back to its goroutine; only the first call has an effect. It does not block, as
// complete has room for its one value.
func (s *Stream) finish() { s.once.Do(func() { s.complete <- s.body.Complete() }) }
