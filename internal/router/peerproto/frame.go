package peerproto

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
)

// MaxBody is the longest body of a frame, in bytes.
const MaxBody = 16 << 20

// A frame consists of a header and a body. The fields of the header are big-endian:
//
//	length of the body, 4 bytes | kind, 1 byte | call id, 8 bytes
const (
	kindOffset   = 4
	callIDOffset = kindOffset + 1
	headerSize   = callIDOffset + 8
)

// maxPreallocated is the longest body, in bytes, for which memory is allocated before the body has arrived.
const maxPreallocated = 64 << 10

// Frame is one message on a connection.
type Frame struct {
	Kind   Kind
	CallID uint64 // of the call that it starts or answers, chosen by the caller; 0 for none
	Body   []byte
}

// Size returns the size of the encoded frame in bytes.
func (f *Frame) Size() int { return headerSize + len(f.Body) }

// FrameTooLongError means that the peer announced a body longer than MaxBody, or that a frame to be written
// has such a body.
type FrameTooLongError struct{ Length uint32 }

// Error implements error.
func (e *FrameTooLongError) Error() string {
	return fmt.Sprintf(
		"frame body of %d bytes exceeds the limit of %d bytes; check that the peer is a process of this fleet",
		e.Length, MaxBody)
}

// CheckLength returns a *FrameTooLongError if the body is longer than MaxBody, which readers reject.
func (f *Frame) CheckLength() error {
	if len(f.Body) <= MaxBody {
		return nil
	}
	return &FrameTooLongError{uint32(min(uint64(len(f.Body)), math.MaxUint32))}
}

// WriteFrame writes a frame to w and flushes it. If the body is longer than MaxBody, it writes nothing and
// returns a *FrameTooLongError: the peer would close the connection and thereby fail all other calls on it.
func WriteFrame(w *bufio.Writer, frame Frame) error {
	if err := frame.CheckLength(); err != nil {
		return err
	}
	var header [headerSize]byte
	binary.BigEndian.PutUint32(header[:kindOffset], uint32(len(frame.Body)))
	header[kindOffset] = byte(frame.Kind)
	binary.BigEndian.PutUint64(header[callIDOffset:], frame.CallID)
	if _, err := w.Write(header[:]); err != nil {
		return err
	}
	if _, err := w.Write(frame.Body); err != nil {
		return err
	}
	return w.Flush()
}

// ReadFrame reads the next frame. The error is io.EOF if the connection ended between two frames; otherwise
// it is a *FrameTooLongError, io.ErrUnexpectedEOF or the error of r.
func ReadFrame(r *bufio.Reader) (Frame, error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return Frame{}, err
	}
	length := binary.BigEndian.Uint32(header[:kindOffset])
	if length > MaxBody {
		return Frame{}, &FrameTooLongError{length}
	}
	body, err := readBody(r, int(length))
	return Frame{
		Kind: Kind(header[kindOffset]), CallID: binary.BigEndian.Uint64(header[callIDOffset:]), Body: body,
	}, err
}

// readBody reads a body of the given length. If that is more than maxPreallocated, memory is allocated as
// bytes arrive instead of for the announced length. If the connection ends, the error is io.ErrUnexpectedEOF,
// because the frame is incomplete.
func readBody(r io.Reader, length int) ([]byte, error) {
	if length <= maxPreallocated {
		body := make([]byte, length)
		_, err := io.ReadFull(r, body)
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(r, int64(length)))
	if err == nil && len(body) < length {
		err = io.ErrUnexpectedEOF
	}
	return body, err
}
