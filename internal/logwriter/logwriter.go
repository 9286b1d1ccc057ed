// Package logwriter writes log lines from a separate goroutine, so that logging never blocks on the reader of
// the log: a pipe whose reader has stalled buffers 64 KiB and then blocks its writer. The methods of Writer
// are safe for concurrent use.
package logwriter

import (
	"io"
	"sync"
	"time"
)

// Writer buffers log lines, which its goroutine writes to the underlying writer. Lines that do not fit the
// backlog are dropped and counted.
type Writer struct {
	output      io.Writer
	backlog     int // most bytes of buffered lines
	lossMessage func(lost int64) string
	wakeup      chan struct{} // signals new lines or Close
	done        chan struct{}

	mu     sync.Mutex
	lines  []byte // buffered lines that are not yet being written
	spare  []byte // the buffer that was written last, to be reused; nil while it is being written
	lost   int64  // lines dropped since the last loss message
	closed bool
}

// New returns a Writer that buffers at most backlog bytes, besides those that it is writing. In place of
// dropped lines it writes the line that lossMessage returns for their number.
func New(output io.Writer, backlog int, lossMessage func(lost int64) string) *Writer {
	w := &Writer{output: output, backlog: backlog, lossMessage: lossMessage, wakeup: make(chan struct{}, 1),
		done: make(chan struct{})}
	go w.run()
	return w
}

// Write buffers one line, or drops it if it does not fit or the Writer is closed. It never fails, and never
// waits for the output.
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

// notify wakes run, unless it is about to wake already.
func (w *Writer) notify() {
	select {
	case w.wakeup <- struct{}{}:
	default:
	}
}

// run writes the buffered lines until Close is called and the buffer is empty.
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
			_, _ = w.output.Write(lines) // if the log can't be written, the error can't be logged either
			if lost > 0 {
				_, _ = io.WriteString(w.output, w.lossMessage(lost))
			}
			w.mu.Lock()
			w.spare = lines
			w.mu.Unlock()
		}
	}
}

// Done is closed once everything buffered before Close has been written.
func (w *Writer) Done() <-chan struct{} { return w.done }

// Close makes the Writer write the buffered lines and drop later ones. It returns when the lines are written,
// or after timeout.
func (w *Writer) Close(timeout time.Duration) {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.notify()
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}
