package peerproto

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestTruncatedFramesAreRejected reads a complete frame, and checks that no truncation of it passes as a
// complete frame.
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
	qt.Assert(t, err, qt.ErrorMatches, "frame body of .* exceeds the limit of .*")
}

// TestOversizedFrameIsNotWritten checks that nothing is written of a frame that is too long, because the peer
// would close the connection.
func TestOversizedFrameIsNotWritten(t *testing.T) {
	var buffer bytes.Buffer
	err := WriteFrame(bufio.NewWriter(&buffer), Frame{Kind: KindUpsert, Body: make([]byte, MaxBody+1)})
	var tooLong *FrameTooLongError
	qt.Assert(t, errors.As(err, &tooLong), qt.IsTrue)
	qt.Assert(t, tooLong.Length, qt.Equals, uint32(MaxBody+1))
	qt.Assert(t, buffer.Len(), qt.Equals, 0)
}
