// Package handover lets a new process take over the address that clients connect to while the old process
// still runs, so that no connection is lost. The old process (the incumbent) passes its listening socket to
// the new one (the successor) over a Unix socket. Both then accept connections from one queue until the old
// process exits.
//
// The incumbent calls Listen and SuccessorListener.Serve to listen at SocketPath, in a directory that both
// processes can access. The successor connects with Join. On that connection
//
//   - the incumbent sends its State as JSON, preceded by its length as 4 bytes, most significant first;
//     the listening socket is passed with the first of these bytes (SCM_RIGHTS);
//   - the successor sends the byte 'R' once it accepts clients;
//   - the connection then stays open; when it ends, each side knows that the other has exited.
//
// Each side accepts the connection only if the other process runs as the same user or as root.
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
	maxStateBytes    = 64 << 20        // of the encoded State, of which the list of servers is the largest part
	writeTimeout     = 2 * time.Second // for one message to the other process
	readyByte        = 'R'             // message of the successor that it accepts clients
	maxUnixPathBytes = 100             // longer paths may not fit into the address of a Unix socket
	descriptorBytes  = 4               // size of one file descriptor in a control message
)

// State is the data that the incumbent passes to its successor.
type State struct {
	// ServerList is the incumbent's list of servers, in the format of package serverlist.
	ServerList json.RawMessage `json:"known,omitempty"`
	// DiscoveryAddress is the address of the discovery service that the list comes from.
	DiscoveryAddress string `json:"discovery,omitempty"`
}

// SocketPath returns the path of the Unix socket of the process that serves address. dir is a directory that
// both processes can access.
func SocketPath(dir, address string) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(address)) // Write of a hash never fails
	return filepath.Join(dir, "cresshub-"+strconv.FormatUint(h.Sum64(), 36)+".sock")
}

// shortenPath returns a path to the same file that fits into the address of a Unix socket. It is valid until
// release is called.
func shortenPath(path string) (short string, release func(), err error) {
	if len(path) <= maxUnixPathBytes {
		return path, func() {}, nil
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return "", nil, err
	}
	return fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path)), func() { dir.Close() }, nil
}

// checkPeerUser returns an error unless the process at the other end of c runs as the same user or as root.
// In a directory that other users may write to, another user's process must not get the clients of this one.
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
		return fmt.Errorf("peer process runs as user %d", peer.Uid)
	}
	return nil
}

// ReusePort is a Control function for net.ListenConfig that sets SO_REUSEPORT on a socket before it is bound.
// A later process that can't take over the socket can then listen at the same address.
func ReusePort(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// The error is ignored: without the option this process can listen, only no other one beside it.
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
}
