package routersim

import (
	"container/heap"
	"time"
)

// event is a function that runs at a virtual time. Events of the same time run in the order in which they
// were scheduled.
type event struct {
	at     time.Duration // since the start
	number int           // of the scheduling
	run    func()
}

// events is the queue of a clock, as a heap.Interface with the earliest event first.
type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].number < e[j].number
}

func (e *events) Pop() any {
	last := len(*e) - 1
	removed := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return removed
}

// clock is virtual time, with the events scheduled in it.
type clock struct {
	now    time.Duration // since the start
	number int           // of the event scheduled last
	queue  events
}

// after schedules an event; a negative delay counts as 0.
func (c *clock) after(delay time.Duration, run func()) {
	c.number++
	heap.Push(&c.queue, event{c.now + max(delay, 0), c.number, run})
}

// play runs all events up to a time, those scheduled meanwhile included.
func (c *clock) play(until time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= until {
		next := heap.Pop(&c.queue).(event)
		c.now = next.at
		next.run()
	}
}

// milliseconds returns a number of milliseconds as a duration.
func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
