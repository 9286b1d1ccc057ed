// Command cresshub-simhost hosts balancers for the simulator: batches of events on standard input, one a
// line, and one reply a batch on standard output. The decisions are those of package balance and the format
// of lines that of package simwire; this command only moves lines. It ends with 0 when the input ends between
// two lines, otherwise with 1 and the problem on standard error.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"cresshub/internal/proxy/simwire"
)

const (
	// gcPercent lets the collector run less often than by default: the instances are many, small and
	// long-lived, and memory is plenty.
	gcPercent = 400
	// readBuffer is the size of the input's buffer, in bytes; longer lines are copied together.
	readBuffer = 1 << 20
)

func main() {
	debug.SetGCPercent(gcPercent)
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "cresshub-simhost:", err)
		os.Exit(1)
	}
}

// serve answers each line of in with one line on out until the input ends between two lines.
func serve(in io.Reader, out io.Writer) error {
	lines := &lineReader{in: bufio.NewReaderSize(in, readBuffer)}
	host := simwire.NewHost()
	for {
		line, err := lines.next()
		if errors.Is(err, io.EOF) && len(line) == 0 {
			return nil
		}
		if err != nil {
			return fmt.Errorf("input ended in the middle of a line: %w", err)
		}
		reply, err := host.Reply(line)
		if err != nil {
			return err
		}
		if _, err := out.Write(reply); err != nil {
			return err
		}
	}
}

// lineReader reads lines of any length. Unlike bufio.Scanner it has no limit, and it copies none but those
// longer than the buffer.
type lineReader struct {
	in   *bufio.Reader
	long []byte // the last line longer than the buffer
}

// next returns a line, which is valid until the next call; with an error, what was read of it.
func (r *lineReader) next() ([]byte, error) {
	line, err := r.in.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	r.long = r.long[:0]
	for errors.Is(err, bufio.ErrBufferFull) {
		r.long = append(r.long, line...)
		line, err = r.in.ReadSlice('\n')
	}
	r.long = append(r.long, line...)
	return r.long, err
}
