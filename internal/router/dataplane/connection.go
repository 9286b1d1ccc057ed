package dataplane

import (
	"strings"
	"sync/atomic"
	"time"

	"cresshub/internal/http1"
	"cresshub/internal/router/catalog"
)

const (
	// defaultIdleTime is how long a connection stays idle whose server does not announce a time; it would
	// announce whole seconds.
	defaultIdleTime = 900 * time.Millisecond
	// maxIdleTime bounds how long a connection stays idle, whatever its server announces.
	maxIdleTime = 30 * time.Second
	// maxIdleTimeUnsafe bounds it for requests that must not be sent twice: if the server closes the connection
	// while the request is on its way, nobody knows whether it ran.
	maxIdleTimeUnsafe = 4 * time.Second
	// keepAliveMargin is subtracted from the time that a server announces.
	keepAliveMargin = 500 * time.Millisecond
)

// connection is a connection to a server's incarnation. It is idle in the pool, or one call uses it and may
// touch its fields; only Close may be called by another goroutine meanwhile (roundTrip.stop).
type connection struct {
	*socket
	server      string      // id of the incarnation
	reused      bool        // it has carried a request before
	lastRequest uint64      // number of the last request on it, 0 for one of the proxy's own
	largeBody   atomic.Bool // its last request has a large body; Close reads it
	idleSince   time.Time   // the zero time before it was idle
	expiresAt   time.Time   // when its server may close it; set while it is idle
}

// connectionSpec is what a call needs of its connection.
type connectionSpec struct {
	server       *catalog.Server
	maxPerServer int           // connections of this proxy to the server, 0 if there is no bound
	maxIdle      time.Duration // for how long the connection may have been idle
	// requestNumber is the number of the client's request, 0 for one of the proxy's own. The connection
	// must not have carried it before: a server that answers twice would answer the second call with the
	// first one's response.
	requestNumber uint64
}

// suitable reports whether an idle connection may carry the call.
func (c *connection) suitable(spec connectionSpec) bool {
	repeated := spec.requestNumber != 0 && c.lastRequest == spec.requestNumber
	return c.server == spec.server.ID && !repeated && c.fresh(spec, time.Now())
}

// fresh reports whether an idle connection is young enough for the call.
func (c *connection) fresh(spec connectionSpec, now time.Time) bool {
	return now.Before(c.expiresAt) && now.Sub(c.idleSince) <= spec.maxIdle
}

// keepAliveTime is how long a connection may stay idle after such a response, 0 if it ends.
func keepAliveTime(head *http1.Response) time.Duration {
	if head.Close {
		return 0
	}
	for part := range strings.SplitSeq(head.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		announced := time.Duration(parseCount(value)) * time.Second
		return min(announced-min(keepAliveMargin, announced/2), maxIdleTime)
	}
	return defaultIdleTime
}
