// Package handover lets a new process take over the clients' address while the old one still runs, so that no
// connection is lost. The old process (the incumbent) passes its listening socket to the new one (the
// successor) over a Unix socket; both then accept from one queue until the old process ends.
//
// The incumbent listens at SocketPath in a directory that both processes see: Listen and SuccessorListener.Serve. The successor
// connects with Join. On that connection
//
//   - the incumbent sends its Terms: their length as 4 bytes, most significant first, and the Terms as JSON;
//     the listening socket comes with the first of these bytes (SCM_RIGHTS);
//   - the successor sends the byte 'R' once it accepts clients;
//   - the connection then stays open, and its end tells either side that the other has exited.
//
// Both sides accept a connection only from a process of their own user or of root.
package handover

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	maxStateBytes   = 64 << 20        // bytes of the Terms, of which the list of servers is the largest part
	writeTimeout    = 2 * time.Second // for one message to the other process
	readyByte       = 'R'             // the successor accepts clients
	maxUnixPath     = 100             // bytes; a longer path doesn't fit into a Unix address
	descriptorBytes = 4               // size of one file descriptor in a control message
)

// State are what the incumbent tells its successor.
type State struct {
	// ServerList is the incumbent's list of servers, in the form of package serverlist.
	ServerList json.RawMessage `json:"known,omitempty"`
	// DiscoveryAddress is the address of the discovery service that the list comes from.
	DiscoveryAddress string `json:"discovery,omitempty"`
}

// SocketPath is the Unix socket of the process that serves an address, in a directory that both processes see.
func SocketPath(dir, address string) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(address)) // a hash takes everything
	return filepath.Join(dir, "cresshub-"+strconv.FormatUint(h.Sum64(), 36)+".sock")
}

// shortPath returns a path to the same file that fits into a Unix address. It is valid until release is
// called.
func shortPath(path string) (short string, release func(), err error) {
	if len(path) <= maxUnixPath {
		return path, func() {}, nil
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return "", nil, err
	}
	return fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path)), func() { dir.Close() }, nil
}

// checkPeerUser returns an error unless the other side is a process of the same user or of root: in a
// directory that others may write to, another user's process must not get the clients of this one.
func checkPeerUser(c *net.UnixConn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var peer *unix.Ucred
	controlErr := raw.Control(func(fd uintptr) {
		peer, err = unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED)
	})
	switch {
	case controlErr != nil:
		return controlErr
	case err != nil:
		return err
	case int(peer.Uid) != os.Getuid() && peer.Uid != 0:
		return fmt.Errorf("the other process is user %d", peer.Uid)
	}
	return nil
}

// ReusePort sets SO_REUSEPORT on a socket before it is bound, as a net.ListenConfig's Control: a later
// process may then listen at the same address where it can't take the socket over.
func ReusePort(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// Without the option the address is this process's alone, which is no reason not to listen.
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
}
