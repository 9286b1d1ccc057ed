package peerproto

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// MaxBody is the longest body of a frame, in bytes.
const MaxBody = 16 << 20

const (
	// headerSize is the size of the length of the body, the kind and the call number, all big-endian.
	headerSize = 4 + 1 + 8
	// maxPreallocated is the longest body in bytes for which memory is allocated before its bytes have come.
	maxPreallocated = 64 << 10
)

// Frame is one message on a connection.
type Frame struct {
	Kind   Kind
	CallID uint64 // of the call that it makes or answers, chosen by the caller; 0 for none
	Body   []byte
}

// Size returns the size of the encoded frame in bytes.
func (f *Frame) Size() int { return headerSize + len(f.Body) }

// FrameTooLongError means that the other side announced a body longer than MaxBody.
type FrameTooLongError struct{ Length uint32 }

// Error implements error.
func (e *FrameTooLongError) Error() string {
	return fmt.Sprintf("a frame of %d bytes is beyond %d; check that the caller is a process of this fleet",
		e.Length, MaxBody)
}

// WriteFrame writes a frame to w and flushes it. The caller ensures that the body isn't longer than MaxBody;
// the other side would close the connection.
func WriteFrame(w *bufio.Writer, f Frame) error {
	var header [headerSize]byte
	binary.BigEndian.PutUint32(header[:], uint32(len(f.Body)))
	header[4] = byte(f.Kind)
	binary.BigEndian.PutUint64(header[5:], f.CallID)
	if _, err := w.Write(header[:]); err != nil {
		return err
	}
	if _, err := w.Write(f.Body); err != nil {
		return err
	}
	return w.Flush()
}

// ReadFrame reads the next frame. Beyond maxPreallocated its memory grows with the bytes that come, not with
// the length announced. The error is io.EOF where the connection ended between two frames, and else a
// *FrameTooLongError, io.ErrUnexpectedEOF or the reader's.
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
	if length <= maxPreallocated {
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

// unexpectedEnd turns an end before the first byte of a body into one inside a frame.
func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
