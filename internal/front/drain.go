package front

import "time"

// idleDrain is how long after the begin of a drain idle clients are kept, as their requests may be on the way.
const idleDrain = 300 * time.Millisecond

// Drain makes every following answer the last of its connection, and closes connections that are idle a
// little later. New connections and requests are served on.
func (f *Front) Drain() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.draining.Load() {
		return
	}
	f.drained = time.Now()
	f.draining.Store(true)
	time.AfterFunc(idleDrain, f.closeIdle)
}

// idleEnd is when a client that is idle now is closed in a drain.
func (f *Front) idleEnd() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	end := f.drained.Add(idleDrain)
	if now := time.Now(); now.After(end) {
		return now.Add(idleDrain)
	}
	return end
}

func (f *Front) closeIdle() {
	for _, c := range f.all() {
		c.wakeIdle()
	}
}

func (f *Front) all() []*client {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make([]*client, 0, len(f.clients))
	for c := range f.clients {
		all = append(all, c)
	}
	return all
}

// Wait returns once no client is connected, or at the deadline. Requests that are still under way at cutAt are
// cut off from their servers, so that their clients get an answer.
func (f *Front) Wait(cutAt, deadline time.Time) {
	cut := time.NewTimer(time.Until(cutAt))
	defer cut.Stop()
	over := time.NewTimer(time.Until(deadline))
	defer over.Stop()
	for {
		f.mu.Lock()
		left, changed := len(f.clients), f.changed
		f.mu.Unlock()
		if left == 0 {
			return
		}
		select {
		case <-changed:
		case <-cut.C:
			for _, c := range f.all() {
				c.cutOff()
			}
		case <-over.C:
			return
		}
	}
}
