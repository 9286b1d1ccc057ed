package agent

import "sync"

// broadcast wakes all goroutines that wait for its next event. It is safe for concurrent use.
type broadcast struct {
	mu    sync.Mutex
	event chan struct{}
}

func newBroadcast() *broadcast { return &broadcast{event: make(chan struct{})} }

// next returns a channel that closes at the next event. To miss no event, a waiter must call next before it
// checks the condition that it waits for.
func (b *broadcast) next() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.event
}

// notify signals an event: it wakes all goroutines that wait on the channel of next.
func (b *broadcast) notify() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.event)
	b.event = make(chan struct{})
}
