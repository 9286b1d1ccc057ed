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

// heapArity is the number of children of a node: four make fewer levels than two, and they share a cache line
// or two.
const heapArity = 4

// Kernel is a priority queue of events in order of time, and of creation where times are equal. It allocates
// only while the queue grows beyond its largest size so far.
type Kernel struct {
	now  int64   // virtual time in ns
	seq  uint64  // of the event queued last
	heap []event // the earliest first; see heapArity
	done uint64  // events that have happened
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
	siftUp(k.heap, e)
}

// siftUp puts an event, for which the last place of the heap is free, into its place.
func siftUp(heap []event, e event) {
	at := len(heap) - 1
	for at > 0 {
		parent := (at - 1) / heapArity
		if !e.before(&heap[parent]) {
			break
		}
		heap[at] = heap[parent]
		at = parent
	}
	heap[at] = e
}

// next removes the earliest event and advances the time to it; ok is false where the queue is empty.
func (k *Kernel) next() (e event, ok bool) {
	h := k.heap
	if len(h) == 0 {
		return event{}, false
	}
	first, last := h[0], h[len(h)-1]
	k.heap = h[:len(h)-1]
	if len(k.heap) > 0 {
		siftDown(k.heap, last)
	}
	k.now = first.at
	k.done++
	return first, true
}

// siftDown puts an event into the heap in place of the one at its top.
func siftDown(heap []event, e event) {
	at := 0
	for {
		child := heapArity*at + 1
		if child >= len(heap) {
			break
		}
		earliest := child
		for sibling := child + 1; sibling < min(child+heapArity, len(heap)); sibling++ {
			if heap[sibling].before(&heap[earliest]) {
				earliest = sibling
			}
		}
		if !heap[earliest].before(&e) {
			break
		}
		heap[at] = heap[earliest]
		at = earliest
	}
	heap[at] = e
}
