package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// writer hands lines to a goroutine, so that whoever logs never waits for whoever reads: a pipe whose
// reader stalls takes 64 KiB and then blocks. Beyond its backlog lines are lost, and counted.
type writer struct {
	to    io.Writer
	most  int
	json  bool
	awake chan struct{} // a token: there is something to write, or it is over
	done  chan struct{}

	mu     sync.Mutex
	lines  []byte // waiting
	spare  []byte // the buffer written last, to be filled next
	lost   int64
	closed bool
}

func newWriter(to io.Writer, backlog int, json bool) *writer {
	w := &writer{to: to, most: backlog, json: json, awake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes one line; it never fails and never blocks.
func (w *writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	switch {
	case w.closed || len(w.lines)+len(line) > w.most:
		w.lost++
	default:
		w.lines = append(w.lines, line...)
	}
	w.mu.Unlock()
	w.wake()
	return len(line), nil
}

func (w *writer) wake() {
	select {
	case w.awake <- struct{}{}:
	default:
	}
}

func (w *writer) run() {
	defer close(w.done)
	for range w.awake {
		for {
			w.mu.Lock()
			lines, lost, closed := w.lines, w.lost, w.closed
			w.lines, w.spare, w.lost = w.spare[:0], nil, 0
			w.mu.Unlock()
			if len(lines) == 0 && lost == 0 {
				if closed {
					return
				}
				break
			}
			w.to.Write(lines) // there is nowhere to tell that the log cannot be written
			if lost > 0 {
				form := "level=WARN msg=%q %s=%d\n"
				if w.json {
					form = "{\"level\":\"WARN\",\"msg\":%q,%q:%d}\n"
				}
				fmt.Fprintf(w.to, form, "log lines lost, nobody read them", Lost, lost)
			}
			w.mu.Lock()
			w.spare = lines
			w.mu.Unlock()
		}
	}
}

// close writes what waits, for at most so long.
func (w *writer) close(wait time.Duration) {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.wake()
	select {
	case <-w.done:
	case <-time.After(wait):
	}
}
