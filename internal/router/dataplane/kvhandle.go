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
	// handlePath, followed by the handle, is the path of the call that releases it.
	handlePath = "/api/kv-handle/"
	// handleLifetimeFraction is the fraction of its lifetime for which a handle is used.
	handleLifetimeFraction = 0.8
	// Bounds of the calls that release handles.
	maxConcurrentReleases = 16
	releaseTimeout        = time.Second
)

// kvHandle identifies the prefix cache of a prompt at the server that has prefilled it. It is used only for
// the request whose prompt it is.
type kvHandle struct {
	server    *catalog.Server
	id        string
	expiresAt time.Time // when it is not used any more; the zero time if it does not expire
	tryID     string    // of the request that the prompt belongs to
}

// newKVHandle returns a handle that expires after handleLifetimeFraction of its lifetime at the server. A
// lifetime of 0 means that it does not expire.
func newKVHandle(server *catalog.Server, id, tryID string, lifetime time.Duration) *kvHandle {
	handle := &kvHandle{server: server, id: id, tryID: tryID}
	if lifetime > 0 {
		handle.expiresAt = time.Now().Add(time.Duration(float64(lifetime) * handleLifetimeFraction))
	}
	return handle
}

// prefillServer returns the server that holds the prefix cache, nil for a nil handle.
func (h *kvHandle) prefillServer() *catalog.Server {
	if h == nil {
		return nil
	}
	return h.server
}

// source returns the handle as it is sent to the decode server in Kv-From.
func (h *kvHandle) source() string { return h.server.Address + "/" + h.id }

func (h *kvHandle) expired(now time.Time) bool {
	return h != nil && !h.expiresAt.IsZero() && now.After(h.expiresAt)
}

// parseHandle returns the handle in the response body of a server that has prefilled a prompt. It returns
// false if there is none, or if it has characters that do not fit into a header field or a path segment.
func parseHandle(body []byte) (string, bool) {
	var response struct {
		Handle string `json:"claim_ticket"`
	}
	if json.Unmarshal(body, &response) != nil || response.Handle == "" {
		return "", false
	}
	isForbidden := func(char rune) bool { return char <= ' ' || char > '~' || char == '/' }
	return response.Handle, !strings.ContainsFunc(response.Handle, isForbidden)
}

// releaseHandle has the prefill server free the prefix cache that the request does not use any more, if there
// is one.
func (rt *roundTrip) releaseHandle() {
	if rt.handle == nil {
		return
	}
	rt.proxy.handles.release(rt.handle)
	rt.handle = nil
}

// handleReleaser has servers free prefix caches in the background. While maxConcurrentReleases calls are in
// flight, further handles are left to expire.
type handleReleaser struct {
	pool  *pool
	slots chan struct{}
}

func newHandleReleaser(pool *pool) *handleReleaser {
	return &handleReleaser{pool: pool, slots: make(chan struct{}, maxConcurrentReleases)}
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

// delete makes the call that releases a handle. Nothing depends on its result, so errors are ignored.
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

// errReleaseResponseIncomplete means that the response to the release of a handle was not read to its end.
var errReleaseResponseIncomplete = errors.New("the response to a handle's release is too large or incomplete")

// exchangeRelease sends the call that releases a handle and reads its response. It returns how long the
// connection may stay idle; after an error the connection must not be used again.
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
		return 0, errReleaseResponseIncomplete
	}
	return keepAliveTime(head), nil
}
