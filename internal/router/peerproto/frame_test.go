package peerproto

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestTruncatedFramesAreRejected reads a complete frame, and never takes a truncated one for a complete one.
func TestTruncatedFramesAreRejected(t *testing.T) {
	for _, size := range []int{0, 1, 100, 64<<10 + 1} {
		frame := Frame{KindUpsert, 42, bytes.Repeat([]byte("x"), size)}
		var buffer bytes.Buffer
		qt.Assert(t, WriteFrame(bufio.NewWriter(&buffer), frame), qt.IsNil)
		complete := buffer.Bytes()
		got, err := ReadFrame(bufio.NewReader(bytes.NewReader(complete)))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got, qt.DeepEquals, frame)
		for cut := 0; cut < len(complete); cut += 1 + len(complete)/97 {
			_, err := ReadFrame(bufio.NewReader(bytes.NewReader(complete[:cut])))
			qt.Assert(t, errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF), qt.IsTrue)
		}
	}
	_, err := ReadFrame(bufio.NewReader(bytes.NewReader(bytes.Repeat([]byte{0xff}, 64))))
	qt.Assert(t, err, qt.ErrorMatches, "a frame of .* is beyond .*")
}
