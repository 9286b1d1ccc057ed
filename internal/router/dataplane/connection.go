package dataplane

import (
	"strings"
	"sync/atomic"
	"time"

	"cresshub/internal/http1"
	"cresshub/internal/router/catalog"
)

const (
	// defaultIdleTime is how long a connection may stay idle if its server announces no Keep-Alive timeout. It
	// is less than one second, the shortest timeout that a server could announce.
	defaultIdleTime = 900 * time.Millisecond
	// maxIdleTime limits how long a connection may stay idle, whatever timeout its server announces.
	maxIdleTime = 30 * time.Second
	// maxIdleTimeUnsafe is the limit for requests that must not be sent twice: if the server closes the
	// connection while such a request is in transit, it is unknown whether the request ran.
	maxIdleTimeUnsafe = 4 * time.Second
	// keepAliveMargin is subtracted from the Keep-Alive timeout that a server announces.
	keepAliveMargin = 500 * time.Millisecond
)

// connection is a connection to one incarnation of a server. It is either idle in the pool or used by one
// call, whose goroutine may then access its fields. Other goroutines may meanwhile call only Close
// (roundTrip.stop).
type connection struct {
	*socket
	server      string      // id of the incarnation
	reused      bool        // it has carried an earlier request
	lastRequest uint64      // number of the last request on it, 0 for one of the proxy's own
	largeBody   atomic.Bool // its last request has a large body; read by Close, on any goroutine
	idleSince   time.Time   // zero if it has never been idle
	expiresAt   time.Time   // when its server may close it; set while it is idle
}

// connectionSpec states the requirements of a call for its connection.
type connectionSpec struct {
	server       *catalog.Server
	maxPerServer int           // limit of this proxy's connections to the server, 0 for no limit
	maxIdle      time.Duration // how long the connection may have been idle
	// requestNumber is the number of the client's request, 0 for one of the proxy's own. The last request on
	// the connection must not have been the same one: if a server responded twice to the earlier call, the
	// second response would be taken for that of this call, because both carry the same Cresshub-Try-Id.
	requestNumber uint64
}

// suitable reports whether an idle connection meets the requirements of a call.
func (c *connection) suitable(spec connectionSpec) bool {
	repeated := spec.requestNumber != 0 && c.lastRequest == spec.requestNumber
	return c.server == spec.server.ID && !repeated && c.fresh(spec, time.Now())
}

// fresh reports whether an idle connection has not expired, and has not been idle for too long for the call.
func (c *connection) fresh(spec connectionSpec, now time.Time) bool {
	return now.Before(c.expiresAt) && now.Sub(c.idleSince) <= spec.maxIdle
}

// keepAliveTime returns how long a connection may stay idle after a response with this head, 0 if it must be
// closed.
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
