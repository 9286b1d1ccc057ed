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

// Incumbent is the process that serves the address, as an Offer sees it. Its methods are called from one
// goroutine for each successor.
type Incumbent interface {
	// SuccessorJoined returns the terms and the listening socket for a process that has connected; it may wait.
	SuccessorJoined() (Terms, syscall.Conn, error)
	// SuccessorReady is called when that process accepts clients.
	SuccessorReady()
	// SuccessorExited is called when its connection has ended; it follows each SuccessorJoined without error.
	SuccessorExited()
}

// Offer is the Unix socket by which successors find this process.
type Offer struct {
	listener   *net.UnixListener
	path       string
	socketFile os.FileInfo
}

// Listen makes this process the one that is found at path, in the place of any other.
func Listen(path string) (*Offer, error) {
	temporary := fmt.Sprintf("%s.%d", path, os.Getpid())
	if err := os.Remove(temporary); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	address, release, err := shortPath(temporary)
	if err != nil {
		return nil, err
	}
	defer release()
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: address, Net: "unix"})
	if err != nil {
		return nil, err
	}
	l.SetUnlinkOnClose(false) // by then the name may be a successor's
	// The rename replaces the other's file atomically, and only once this socket listens.
	if err := os.Rename(temporary, path); err != nil {
		return nil, errors.Join(err, l.Close(), os.Remove(temporary))
	}
	socketFile, err := os.Lstat(path)
	if err != nil {
		return nil, errors.Join(err, l.Close())
	}
	return &Offer{l, path, socketFile}, nil
}

// Close ends the offer and removes its file, unless that is a successor's by now.
func (o *Offer) Close() {
	_ = o.listener.Close() // it only ends Serve
	if file, err := os.Lstat(o.path); err == nil && os.SameFile(file, o.socketFile) {
		_ = os.Remove(o.path) // Join takes a file that stays for none
	}
}

// Serve accepts successors until Close.
func (o *Offer) Serve(in Incumbent) {
	for {
		c, err := o.listener.AcceptUnix()
		if err != nil {
			return
		}
		go serveSuccessor(c, in)
	}
}

// serveSuccessor sends one successor the terms and follows it until it exits.
func serveSuccessor(c *net.UnixConn, in Incumbent) {
	defer func() { _ = c.Close() }() // the successor has what was written, or has gone
	if checkPeerUser(c) != nil {
		return
	}
	terms, socket, err := in.SuccessorJoined()
	if err != nil {
		return
	}
	defer in.SuccessorExited()
	if sendTerms(c, terms, socket) != nil {
		return
	}
	var message [1]byte
	if _, err := io.ReadFull(c, message[:]); err == nil && message[0] == readyByte {
		in.SuccessorReady()
		_, _ = io.Copy(io.Discard, c) // any end is the successor's exit
	}
}

// sendTerms writes the terms, with the socket as a control message of their first byte.
func sendTerms(c *net.UnixConn, terms Terms, socket syscall.Conn) error {
	text, err := json.Marshal(terms)
	if err != nil {
		return err
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	if err := c.SetDeadline(time.Now().Add(replyTimeout)); err != nil {
		return err
	}
	controlErr := raw.Control(func(fd uintptr) {
		size := binary.BigEndian.AppendUint32(nil, uint32(len(text)))
		if _, _, err = c.WriteMsgUnix(size, unix.UnixRights(int(fd)), nil); err == nil {
			_, err = c.Write(text)
		}
	})
	if controlErr != nil {
		return controlErr
	}
	if err != nil {
		return err
	}
	return c.SetDeadline(time.Time{})
}
