package peerproto

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
)

// MaxBody is the longest body of a frame in bytes.
const MaxBody = 16 << 20

// headerSize is the length, the kind and the call number in front of a body.
const headerSize = 4 + 1 + 8

// Frame is one message on a connection.
type Frame struct {
	Kind   Kind
	CallID uint64 // number of the call that it makes or answers, 0 for none
	Body   []byte
}

// Size is how many bytes the frame takes on a connection.
func (f *Frame) Size() int { return headerSize + len(f.Body) }

// FrameTooLongError tells that the other side announced a frame beyond the bound.
type FrameTooLongError struct{ Length uint32 }

func (e *FrameTooLongError) Error() string {
	return fmt.Sprintf("a frame of %d bytes is beyond %d; check that the caller is a process of this fleet",
		e.Length, MaxBody)
}

// WriteFrame lays a frame out in w and flushes it.
func WriteFrame(w *bufio.Writer, f Frame) error {
	var header [headerSize]byte
	binary.BigEndian.PutUint32(header[:], uint32(len(f.Body)))
	header[4] = byte(f.Kind)
	binary.BigEndian.PutUint64(header[5:], f.CallID)
	w.Write(header[:])
	w.Write(f.Body)
	return w.Flush()
}

// ReadFrame reads the next frame. Its memory grows with the bytes that come, not with the length announced.
func ReadFrame(r *bufio.Reader) (Frame, error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return Frame{}, err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length > MaxBody {
		return Frame{}, &FrameTooLongError{length}
	}
	f := Frame{Kind: Kind(header[4]), CallID: binary.BigEndian.Uint64(header[5:])}
	if length <= 64<<10 {
		f.Body = make([]byte, length)
		_, err := io.ReadFull(r, f.Body)
		return f, unexpectedEnd(err)
	}
	body, err := io.ReadAll(io.LimitReader(r, int64(length)))
	if err == nil && len(body) < int(length) {
		err = io.ErrUnexpectedEOF
	}
	f.Body = body
	return f, err
}

func unexpectedEnd(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
