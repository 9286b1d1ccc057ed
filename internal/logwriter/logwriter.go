// Package logwriter writes lines of a log from a goroutine of its own, so that whoever logs never waits for
// whoever reads: a pipe whose reader stands still takes 64 KiB and then blocks its writer.
package logwriter

import (
	"io"
	"sync"
	"time"
)

// Writer hands lines to its goroutine. Beyond its backlog lines are lost, and counted.
type Writer struct {
	to    io.Writer
	most  int
	told  func(lost int64) string
	awake chan struct{} // a token: there is something to write, or it is over
	done  chan struct{}

	mu     sync.Mutex
	lines  []byte // waiting
	spare  []byte // the buffer written last, to be filled next
	lost   int64
	closed bool
}

// New returns a writer that keeps at most backlog bytes while nobody reads. The line that told returns stands
// in place of lines that were lost.
func New(to io.Writer, backlog int, told func(lost int64) string) *Writer {
	w := &Writer{to: to, most: backlog, told: told, awake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes one line; it never fails and never blocks.
func (w *Writer) Write(line []byte) (int, error) {
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

func (w *Writer) wake() {
	select {
	case w.awake <- struct{}{}:
	default:
	}
}

func (w *Writer) run() {
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
				io.WriteString(w.to, w.told(lost))
			}
			w.mu.Lock()
			w.spare = lines
			w.mu.Unlock()
		}
	}
}

// Done is closed once all that was taken before Close has been written.
func (w *Writer) Done() <-chan struct{} { return w.done }

// Close writes what waits, for at most so long.
func (w *Writer) Close(wait time.Duration) {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.wake()
	select {
	case <-w.done:
	case <-time.After(wait):
	}
}
