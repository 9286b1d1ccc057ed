package handover

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Predecessor is, to a successor, the process that has served the address so far.
type Predecessor struct {
	State
	Listener net.Listener // the predecessor's own socket, shared
	conn     *net.UnixConn
	exited   chan struct{} // closed when conn has ended
}

// Join takes the listening socket over from the process that serves at path, within the timeout. It returns
// nil and no error where there is no such process; a socket file that a killed process left behind counts as
// none.
func Join(path string, timeout time.Duration) (*Predecessor, error) {
	if _, err := os.Stat(path); errors.Is(err, os.ErrNotExist) {
		return nil, nil
	} else if err != nil {
		return nil, err // nobody knows whether there is one
	}
	address, release, err := shortPath(path)
	if err != nil {
		return nil, err
	}
	defer release()
	conn, err := (&net.Dialer{Timeout: timeout}).Dial("unix", address)
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	p := &Predecessor{conn: conn.(*net.UnixConn), exited: make(chan struct{})}
	conn.SetDeadline(time.Now().Add(timeout))
	if err := p.receiveState(); err != nil {
		conn.Close()
		return nil, err
	}
	conn.SetDeadline(time.Time{})
	go func() {
		_, _ = io.Copy(io.Discard, conn) // however the connection ends, the predecessor has exited
		close(p.exited)
	}()
	return p, nil
}

// receiveState reads the terms and the socket that comes with their first byte.
func (p *Predecessor) receiveState() error {
	if err := checkPeerUser(p.conn); err != nil {
		return err
	}
	var size [4]byte
	rights := make([]byte, unix.CmsgSpace(descriptorBytes))
	n, rightsBytes, _, _, err := p.conn.ReadMsgUnix(size[:], rights)
	if err != nil {
		return err
	}
	file, err := receivedSocket(rights[:rightsBytes])
	if err != nil {
		return err
	}
	defer file.Close()
	if _, err := io.ReadFull(p.conn, size[n:]); err != nil {
		return err
	}
	length := binary.BigEndian.Uint32(size[:])
	if length > maxStateBytes {
		return fmt.Errorf("terms of %d bytes", length)
	}
	text := make([]byte, length)
	if _, err := io.ReadFull(p.conn, text); err != nil {
		return err
	}
	if err := json.Unmarshal(text, &p.State); err != nil {
		return err
	}
	p.Listener, err = net.FileListener(file)
	return err
}

// receivedSocket returns the one socket that came as a control message. The caller closes it.
func receivedSocket(rights []byte) (*os.File, error) {
	messages, err := unix.ParseSocketControlMessage(rights)
	if err != nil {
		return nil, fmt.Errorf("no socket came with the terms: %w", err)
	}
	if len(messages) != 1 {
		return nil, fmt.Errorf("%d control messages came with the terms", len(messages))
	}
	fds, err := unix.ParseUnixRights(&messages[0])
	if err != nil {
		return nil, fmt.Errorf("no socket came with the terms: %w", err)
	}
	if len(fds) != 1 {
		return nil, fmt.Errorf("%d sockets came with the terms", len(fds))
	}
	unix.CloseOnExec(fds[0])
	return os.NewFile(uintptr(fds[0]), "listener"), nil
}

// SendReady tells the predecessor that this process accepts clients.
func (p *Predecessor) SendReady() error {
	if err := p.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := p.conn.Write([]byte{readyByte})
	return err
}

// Exited is closed when the predecessor has ended.
func (p *Predecessor) Exited() <-chan struct{} { return p.exited }

// Close closes the connection, by which the predecessor takes this process to have exited.
func (p *Predecessor) Close() { _ = p.conn.Close() } // nothing is left to be written
