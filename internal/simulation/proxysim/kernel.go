// Package proxysim is a model of what the proxy balances: clients, proxies, halls, zone servers, their list
// and their load reports, in virtual time. The real decisions (package balance, one instance a proxy) and
// rival policies play the same days. It does no input or output and knows no clock: the same scenario and
// seed give the same results whatever the machine.
package proxysim

// event is one thing that happens: what, when, and to whom. It holds no pointer, so the queue costs the
// collector nothing.
type event struct {
	at   int64 // ns
	seq  uint64
	c    uint64
	a, b int32
	kind uint8
}

func (e *event) before(o *event) bool { return e.at < o.at || e.at == o.at && e.seq < o.seq }

// Kernel is a queue of events in order of time, and of their making where times are equal. It allocates
// only while the queue grows beyond what it ever held.
type Kernel struct {
	now  int64
	seq  uint64
	heap []event
	done uint64
}

// Now is the virtual time in ns.
func (k *Kernel) Now() int64 { return k.now }

// Events is how many have happened.
func (k *Kernel) Events() uint64 { return k.done }

// Len is how many wait.
func (k *Kernel) Len() int { return len(k.heap) }

// add puts an event in; one in the past happens now.
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

// next takes the earliest event out and moves the time there; false where none waits.
func (k *Kernel) next() (event, bool) {
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
