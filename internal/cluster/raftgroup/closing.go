package raftgroup

import (
	"time"
)

// Close hands over what this member leads, stops the groups and closes the folder.
func (h *Host) Close() error {
	var err error
	h.once.Do(func() {
		h.mu.Lock()
		groups := make([]*group, 0, len(h.groups))
		for _, g := range h.groups {
			groups = append(groups, g)
		}
		close(h.stop)
		h.mu.Unlock()
		for _, g := range groups {
			g.handOverLeadership(2 * h.opts.ElectionTimeout)
			close(g.stop)
			<-g.done
		}
		h.net.close()
		h.done.Wait()
		err = h.store.close()
	})
	return err
}

// handOverLeadership transfers leadership and waits for it, no longer than most.
func (g *group) handOverLeadership(timeout time.Duration) {
	started := make(chan bool, 1)
	if g.enqueue(func() { started <- g.diskErr == nil && g.transferLeadership() }) != nil {
		return
	}
	select {
	case <-g.done:
		return
	case <-time.After(timeout):
		return
	case ok := <-started:
		if !ok {
			return
		}
	}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		isLeader := make(chan bool, 1)
		if g.enqueue(func() { isLeader <- g.isLeader }) != nil {
			return
		}
		select {
		case l := <-isLeader:
			if !l {
				return
			}
		case <-g.done:
			return
		}
	}
}
