package dataplane

import (
	"io"
)

// stopReason says why a round trip was stopped.
type stopReason int

const (
	notStopped         stopReason = iota
	clientDisconnected            // before its response was complete
	proxyStopping                 // the process ends, and Wait has aborted the request
)

// stopReason returns why the round trip was stopped. Any goroutine may call it.
func (rt *roundTrip) stopReason() stopReason {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return rt.stopCause
}

// stop ends the call in flight and lets no other begin. Any goroutine may call it.
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

// setAbortable sets what stop has to close; it returns false if the round trip is stopped already.
func (rt *roundTrip) setAbortable(closer io.Closer) bool {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	if closer != nil && rt.stopCause != notStopped {
		return false
	}
	rt.abortable = closer
	return true
}
