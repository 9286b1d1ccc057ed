// Command cresshub-simhost hosts balancer instances for the simulator. It reads batches of events from
// standard input, one batch per line, and writes one reply line per batch to standard output. Package balance
// makes the decisions and package simwire defines the line format; this command only transfers the lines. It
// exits with status 0 when the input ends between two lines, and otherwise with status 1 and an error message
// on standard error.
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
	// gcPercent makes garbage collection rarer than by default: the balancer instances are many, small and
	// long-lived, and there is enough memory.
	gcPercent = 400
	// readBufferBytes is the size of the input buffer. Only longer lines are copied into a second buffer.
	readBufferBytes = 1 << 20
)

func main() {
	debug.SetGCPercent(gcPercent)
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "cresshub-simhost:", err)
		os.Exit(1)
	}
}

// serve writes one reply line to out for each line of in. It returns nil when the input ends between two
// lines.
func serve(in io.Reader, out io.Writer) error {
	lines := &lineReader{in: bufio.NewReaderSize(in, readBufferBytes)}
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

// lineReader reads lines of any length. Unlike bufio.Scanner it has no length limit, and it copies only
// lines longer than the buffer.
type lineReader struct {
	in       *bufio.Reader
	longLine []byte // the last line longer than the buffer
}

// next returns the next line, which is valid until the following call. With an error, it returns the part of
// the line that was read.
func (r *lineReader) next() ([]byte, error) {
	line, err := r.in.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	r.longLine = r.longLine[:0]
	for errors.Is(err, bufio.ErrBufferFull) {
		r.longLine = append(r.longLine, line...)
		line, err = r.in.ReadSlice('\n')
	}
	r.longLine = append(r.longLine, line...)
	return r.longLine, err
}
