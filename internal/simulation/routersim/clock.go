// Package routersim plays the way of model requests through a fleet in virtual time: proxies that decide
// each on its own, servers that read prompts and servers that make tokens. The real decisions (package
// pairing) and rival policies play the same requests. It has no input, output, clock or goroutine: the same
// scenario and seed give the same result everywhere.
package routersim

import (
	"container/heap"
	"time"
)

// event is something that happens at a time; events of one time happen in the order of their making.
type event struct {
	at     time.Duration
	number int
	run    func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].number < e[j].number
}

func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}

// clock is virtual time and what will happen in it.
type clock struct {
	now    time.Duration
	number int
	queue  events
}

func (c *clock) after(d time.Duration, run func()) {
	c.number++
	heap.Push(&c.queue, event{c.now + max(d, 0), c.number, run})
}

// play runs events until none is left or the time is over.
func (c *clock) play(until time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= until {
		next := heap.Pop(&c.queue).(event)
		c.now = next.at
		next.run()
	}
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
