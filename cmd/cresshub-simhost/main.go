// Command cresshub-simhost hosts balancers for the simulator: batches of events on standard input, one reply
// a batch on standard output. It takes no decisions.
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

func main() {
	debug.SetGCPercent(400) // many small long-lived instances: collect less often, memory is plenty
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "cresshub-simhost:", err)
		os.Exit(1)
	}
}

// serve answers each line of in with one line on out until the input ends between two lines.
func serve(in io.Reader, out io.Writer) error {
	r := bufio.NewReaderSize(in, 1<<20)
	host := simwire.NewHost()
	var long []byte
	for {
		line, err := r.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			long = append(long, line...)
			continue
		}
		if len(long) > 0 {
			long = append(long, line...)
			line, long = long, long[:0]
		}
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
