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
			g.handOver(2 * h.opt.Election)
			close(g.stop)
			<-g.done
		}
		h.net.close()
		h.done.Wait()
		err = h.store.close()
	})
	return err
}

// handOver transfers leadership and waits for it, no longer than most.
func (g *group) handOver(most time.Duration) {
	began := make(chan bool, 1)
	if g.do(func() { began <- g.stalled == nil && g.transfer() }) != nil {
		return
	}
	select {
	case <-g.done:
		return
	case <-time.After(most):
		return
	case ok := <-began:
		if !ok {
			return
		}
	}
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		led := make(chan bool, 1)
		if g.do(func() { led <- g.led }) != nil {
			return
		}
		select {
		case l := <-led:
			if !l {
				return
			}
		case <-g.done:
			return
		}
	}
}
