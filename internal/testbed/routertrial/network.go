package routertrial

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"syscall"
)

// On loopback each machine has an IP of its own, so that all machines can have the same ports.
const (
	firstPort     = 8140 // of the first network that is probed
	portsEach     = 32   // between the ports of two networks
	innerPorts    = 4    // for connections among the processes of the fleet
	readyOffset   = 0
	frontOffset   = 4
	controlOffset = 6
	innerOffset   = 10
	serverOffset  = 20 // of the servers, which have IPs of their own

	firstServerOctet  = 101 // last octet of the first server's IP
	reservationOctet  = 250 // last octet of the IP that reserves a network
	secondOctet       = 77  // of the IPs of all networks
	networkCount      = 200
	maxNetworksProbed = 20 // before giving up
)

// network is a range of loopback addresses that nothing else uses.
type network struct {
	prefix      string // of its IPs
	port        int    // the first
	reservation net.Listener
	notes       []string // about addresses that were taken
}

// NoAddressesError reports that no range of loopback addresses is free.
type NoAddressesError struct{ Last error }

func (e *NoAddressesError) Error() string {
	return fmt.Sprintf("no free range of loopback addresses was found (%v); end what listens on 127.%d.x.y",
		e.Last, secondOctet)
}

// reserveNetwork finds addresses for so many machines and servers, and reserves them until the network is
// closed.
func reserveNetwork(machines, servers int) (*network, error) {
	first := os.Getpid() % networkCount // concurrent trials begin with different ones
	var notes []string
	var lastErr error
	for i := range maxNetworksProbed {
		prefix := fmt.Sprintf("127.%d.%d.", secondOctet, (first+i)%networkCount)
		n := &network{prefix: prefix, port: firstPort + i*portsEach}
		if lastErr = n.reserve(machines, servers); lastErr == nil {
			n.notes = notes
			return n, nil
		}
		if !errors.Is(lastErr, syscall.EADDRINUSE) {
			break
		}
		notes = append(notes, fmt.Sprintf("%v; looking at other addresses", lastErr))
	}
	return nil, &NoAddressesError{lastErr}
}

func (n *network) reserve(machines, servers int) error {
	reservation, err := net.Listen("tcp4", n.address(reservationOctet, controlOffset))
	if err != nil {
		return err
	}
	if err := n.probe(machines, servers); err != nil {
		reservation.Close()
		return err
	}
	n.reservation = reservation
	return nil
}

// probe listens once at each address that is to be used.
func (n *network) probe(machines, servers int) error {
	var addresses []string
	for i := range machines {
		for _, offset := range []int{readyOffset, frontOffset, controlOffset, innerOffset} {
			addresses = append(addresses, n.address(i+1, offset))
		}
	}
	for i := range servers {
		addresses = append(addresses, n.serverAddress(i))
	}
	for _, address := range addresses {
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			return err
		}
		listener.Close()
	}
	return nil
}

func (n *network) close() { n.reservation.Close() }

func (n *network) ip(last int) string { return n.prefix + strconv.Itoa(last) }

func (n *network) address(last, offset int) string {
	return net.JoinHostPort(n.ip(last), strconv.Itoa(n.port+offset))
}

// serverAddress is where the server of that number listens.
func (n *network) serverAddress(number int) string {
	return n.address(firstServerOctet+number, serverOffset)
}
