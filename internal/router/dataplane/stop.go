package dataplane

import (
	"io"
)

// stopReason says why a round trip was stopped.
type stopReason int

const (
	notStopped         stopReason = iota
	clientDisconnected            // the client disconnected before its response was complete
	proxyStopping                 // the process is shutting down, and Wait has aborted the request
)

// stopReason returns why the round trip was stopped. It may be called from any goroutine.
func (rt *roundTrip) stopReason() stopReason {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return rt.stopCause
}

// stop aborts the call in flight and prevents further ones. It may be called from any goroutine.
func (rt *roundTrip) stop(reason stopReason) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	if rt.stopCause == notStopped {
		rt.stopCause = reason
	}
	if rt.abortable != nil {
		rt.abortable.Close()
	}
}

// setAbortable sets what stop closes, nil for nothing. It returns false without setting a non-nil closer if
// the round trip has been stopped already.
func (rt *roundTrip) setAbortable(closer io.Closer) bool {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	if closer != nil && rt.stopCause != notStopped {
		return false
	}
	rt.abortable = closer
	return true
}
