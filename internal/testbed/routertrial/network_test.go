package routertrial

import (
	"fmt"
	"net"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Where an address is taken, the whole trial moves to others and tells.
func TestTakenAddressesAreAvoided(t *testing.T) {
	c := qt.New(t)
	first := fmt.Sprintf("127.%d.%d.", secondOctet, os.Getpid()%networkCount)
	taken, err := net.Listen("tcp4", fmt.Sprintf("%s2:%d", first, firstPort+frontOffset))
	if err == nil { // else somebody else has it, which is as good
		defer taken.Close()
	}
	n, err := reserveNetwork(3, 2)
	c.Assert(err, qt.IsNil)
	defer n.close()
	c.Assert(n.prefix, qt.Not(qt.Equals), first)
	c.Assert(n.port > firstPort, qt.IsTrue)
	c.Assert(n.notes[0], qt.Matches, `.*address already in use; looking at other addresses`)
}

// Two trials at the same time get addresses of their own, also before either listens there.
func TestReservedAddressesAreNotGivenTwice(t *testing.T) {
	c := qt.New(t)
	one, err := reserveNetwork(3, 2)
	c.Assert(err, qt.IsNil)
	defer one.close()
	other, err := reserveNetwork(3, 2)
	c.Assert(err, qt.IsNil)
	defer other.close()
	c.Assert(one.prefix, qt.Not(qt.Equals), other.prefix)
}

func TestFaultsAreChecked(t *testing.T) {
	c := qt.New(t)
	c.Assert(CheckFault(""), qt.IsNil)
	c.Assert(CheckFault(FaultWipe), qt.IsNil)
	c.Assert(CheckFault("rain"), qt.ErrorMatches, `"rain" is no fault; name one of kill, wipe, .*`)
}
