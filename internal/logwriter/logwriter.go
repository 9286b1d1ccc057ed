// Package logwriter writes the lines of a log from a goroutine of its own, so that logging never blocks on
// the reader of the log: a pipe whose reader has stalled takes 64 KiB and then blocks its writer. The methods
// of Writer may be called from any goroutine.
package logwriter

import (
	"io"
	"sync"
	"time"
)

// Writer hands lines to its goroutine. Lines that exceed its backlog are dropped and counted.
type Writer struct {
	to          io.Writer
	backlog     int
	lossMessage func(lost int64) string
	wakeup      chan struct{} // signals new lines or Close
	done        chan struct{}

	mu     sync.Mutex
	lines  []byte // buffered
	spare  []byte // the buffer that was written last, reused for the next lines
	lost   int64
	closed bool
}

// New returns a Writer that buffers at most backlog bytes. The line that lossMessage returns is written in
// place of dropped lines, whose number it is given.
func New(to io.Writer, backlog int, lossMessage func(lost int64) string) *Writer {
	w := &Writer{to: to, backlog: backlog, lossMessage: lossMessage, wakeup: make(chan struct{}, 1),
		done: make(chan struct{})}
	go w.run()
	return w
}

// Write buffers one line; it never fails and never blocks.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	switch {
	case w.closed || len(w.lines)+len(line) > w.backlog:
		w.lost++
	default:
		w.lines = append(w.lines, line...)
	}
	w.mu.Unlock()
	w.notify()
	return len(line), nil
}

func (w *Writer) notify() {
	select {
	case w.wakeup <- struct{}{}:
	default:
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for range w.wakeup {
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
			_, _ = w.to.Write(lines) // a log that can't be written has nowhere to report that
			if lost > 0 {
				_, _ = io.WriteString(w.to, w.lossMessage(lost))
			}
			w.mu.Lock()
			w.spare = lines
			w.mu.Unlock()
		}
	}
}

// Done is closed once everything buffered before Close has been written.
func (w *Writer) Done() <-chan struct{} { return w.done }

// Close writes the buffered lines and waits at most wait for that.
func (w *Writer) Close(wait time.Duration) {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.notify()
	select {
	case <-w.done:
	case <-time.After(wait):
	}
}
