package proxysim

// event is an entry of the queue. Each kind says what target, detail and stamp are; those that it does not
// name are 0. An event holds no pointer, so that the garbage collector doesn't scan the queue.
type event struct {
	at       int64  // virtual time in ns
	sequence uint64 // breaks ties by order of creation
	stamp    uint64 // mostly a number by which an event that came too late is told from a current one
	target   int32  // position of what the event happens to, in its table
	detail   int32
	kind     uint8
}

func (e *event) before(other *event) bool {
	return e.at < other.at || e.at == other.at && e.sequence < other.sequence
}

// Units of virtual time and of work, in ns.
const (
	nsPerMicrosecond = 1_000
	nsPerMillisecond = 1_000_000
	nsPerSecond      = 1_000_000_000
)

// heapArity is the number of children of a node: four make fewer levels than two, and they share a cache line
// or two.
const heapArity = 4

// Kernel is a priority queue of events in order of time, and of creation where times are equal. It allocates
// only while the queue grows beyond its largest size so far.
type Kernel struct {
	now      int64   // virtual time in ns
	sequence uint64  // of the event queued last
	heap     []event // the earliest first; see heapArity
	done     uint64  // events that have happened
}

// Now is the virtual time in ns.
func (k *Kernel) Now() int64 { return k.now }

// Events is the number of events that have happened.
func (k *Kernel) Events() uint64 { return k.done }

// Len is the number of queued events.
func (k *Kernel) Len() int { return len(k.heap) }

// add queues an event for a time; one in the past happens now.
func (k *Kernel) add(at int64, e event) {
	k.sequence++
	e.at, e.sequence = max(at, k.now), k.sequence
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
	if len(k.heap) == 0 {
		return event{}, false
	}
	first, last := k.heap[0], k.heap[len(k.heap)-1]
	k.heap = k.heap[:len(k.heap)-1]
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
