package proxysim

// event is an entry of the queue. What a, b and c mean is said at each kind. It holds no pointer, so that the
// garbage collector doesn't scan the queue.
type event struct {
	at   int64  // virtual time in ns
	seq  uint64 // breaks ties by order of creation
	c    uint64
	a, b int32
	kind uint8
}

func (e *event) before(o *event) bool { return e.at < o.at || e.at == o.at && e.seq < o.seq }

// Kernel is a priority queue of events in order of time, and of creation where times are equal. It allocates
// only while the queue grows beyond its largest size so far.
type Kernel struct {
	now  int64
	seq  uint64
	heap []event // 4-ary
	done uint64
}

// Now is the virtual time in ns.
func (k *Kernel) Now() int64 { return k.now }

// Events is the number of events that have happened.
func (k *Kernel) Events() uint64 { return k.done }

// Len is the number of queued events.
func (k *Kernel) Len() int { return len(k.heap) }

// add queues an event; one in the past happens now.
func (k *Kernel) add(at int64, kind uint8, a, b int32, c uint64) {
	k.seq++
	e := event{at: max(at, k.now), seq: k.seq, c: c, a: a, b: b, kind: kind}
	k.heap = append(k.heap, e)
	h := k.heap
	i := len(h) - 1
	for i > 0 { // four children a node: fewer levels than two, and they share a cache line or two
		up := (i - 1) / 4
		if !e.before(&h[up]) {
			break
		}
		h[i] = h[up]
		i = up
	}
	h[i] = e
}

// next removes the earliest event and advances the time to it; ok is false where the queue is empty.
func (k *Kernel) next() (e event, ok bool) {
	h := k.heap
	if len(h) == 0 {
		return event{}, false
	}
	first, last := h[0], h[len(h)-1]
	h = h[:len(h)-1]
	k.heap = h
	if n := len(h); n > 0 {
		i := 0
		for {
			child := 4*i + 1
			if child >= n {
				break
			}
			earliest := child
			for j := child + 1; j < min(child+4, n); j++ {
				if h[j].before(&h[earliest]) {
					earliest = j
				}
			}
			if !h[earliest].before(&last) {
				break
			}
			h[i] = h[earliest]
			i = earliest
		}
		h[i] = last
	}
	k.now = first.at
	k.done++
	return first, true
}
