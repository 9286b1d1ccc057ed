package dataplane

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"strings"
	"time"

	"cresshub/internal/http1"
	"cresshub/internal/router/catalog"
)

const (
	// handlePath and the handle are the target of the call that releases it.
	handlePath = "/api/kv-handle/"
	// handleLifetimeUsed is the fraction of a handle's lifetime after which it is not used any more.
	handleLifetimeUsed = 0.8
	// The bounds of the calls that release handles.
	maxReleases    = 16
	releaseTimeout = time.Second
)

// kvHandle names the prefix cache of a prompt at the server that has prefilled it. It is used for its own
// request alone.
type kvHandle struct {
	server    *catalog.Server
	id        string
	expiresAt time.Time // the zero time where it does not expire
	tryID     string    // of the request whose prompt it names
}

// newKVHandle returns a handle that is used for the first handleLifetimeUsed of its lifetime; a lifetime of 0
// never ends.
func newKVHandle(server *catalog.Server, id, tryID string, lifetime time.Duration) *kvHandle {
	handle := &kvHandle{server: server, id: id, tryID: tryID}
	if lifetime > 0 {
		handle.expiresAt = time.Now().Add(time.Duration(float64(lifetime) * handleLifetimeUsed))
	}
	return handle
}

// prefillServer is the server that has the prefix cache, nil for no handle.
func (h *kvHandle) prefillServer() *catalog.Server {
	if h == nil {
		return nil
	}
	return h.server
}

// source is the handle as the decode server gets it in Kv-From.
func (h *kvHandle) source() string { return h.server.Address + "/" + h.id }

func (h *kvHandle) expired(now time.Time) bool {
	return h != nil && !h.expiresAt.IsZero() && now.After(h.expiresAt)
}

// parseHandle reads the response of a server that has prefilled a prompt. It returns false for a handle
// that does not fit into a header field and a path.
func parseHandle(body []byte) (string, bool) {
	var answer struct {
		Handle string `json:"claim_ticket"`
	}
	if json.Unmarshal(body, &answer) != nil || answer.Handle == "" {
		return "", false
	}
	odd := func(char rune) bool { return char <= ' ' || char > '~' || char == '/' }
	return answer.Handle, !strings.ContainsFunc(answer.Handle, odd)
}

// releaseHandle has the prefill server free the prefix cache, which the request does not use any more.
func (rt *roundTrip) releaseHandle() {
	if rt.handle == nil {
		return
	}
	rt.proxy.handles.release(rt.handle)
	rt.handle = nil
}

// handleReleaser has servers free prefix caches in the background. When it is busy handles are left to
// expire.
type handleReleaser struct {
	pool  *pool
	slots chan struct{}
}

func newHandleReleaser(pool *pool) *handleReleaser {
	return &handleReleaser{pool: pool, slots: make(chan struct{}, maxReleases)}
}

func (r *handleReleaser) release(handle *kvHandle) {
	select {
	case r.slots <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-r.slots }()
		r.delete(handle)
	}()
}

// delete makes the call. Nothing depends on its result.
func (r *handleReleaser) delete(handle *kvHandle) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	conn, err := r.pool.get(ctx, connectionSpec{server: handle.server, maxIdle: maxIdleTimeUnsafe})
	if err != nil {
		return
	}
	conn.SetDeadline(time.Now().Add(releaseTimeout))
	keepAlive, err := exchangeRelease(conn, handle)
	if err != nil {
		r.pool.discard(conn)
		return
	}
	r.pool.put(conn, keepAlive)
}

// errReleaseNotRead means that the response to the release of a handle was not read to its end.
var errReleaseNotRead = errors.New("the response is too large, or was broken off")

// exchangeRelease sends the call and reads its response. It returns how long the connection may stay idle; an
// error means that it must not be used again.
func exchangeRelease(conn *connection, handle *kvHandle) (keepAlive time.Duration, err error) {
	host, _, _ := net.SplitHostPort(handle.server.Address)
	message := http1.Request{Method: "DELETE", Target: handlePath + handle.id, Header: http1.Header{
		{Name: "Host", Value: host}, {Name: expectServerHeader, Value: handle.server.ID}}}
	out := conn.writer()
	if err := message.Write(out); err != nil {
		return 0, err
	}
	if err := out.Flush(); err != nil {
		return 0, err
	}
	head, body, err := http1.ReadResponseHead(conn.reader(), message.Method)
	if err != nil {
		return 0, err
	}
	if _, err := io.CopyN(io.Discard, body, maxBufferedBodyBytes); !errors.Is(err, io.EOF) {
		return 0, errReleaseNotRead
	}
	return keepAliveTime(head), nil
}
