package lease

import (
	"errors"
	"fmt"
	"strconv"
)

// TokenHeader is the field of an HTTP call that carries a fencing token.
const TokenHeader = "X-Fencing-Token"

// ParseToken reads a fencing token as a call carries it: a whole number above zero.
func ParseToken(text string) (uint64, error) {
	if text == "" {
		return 0, errors.New("no fencing token")
	}
	token, err := strconv.ParseUint(text, 10, 64)
	if err != nil || token == 0 {
		return 0, fmt.Errorf("fencing token %.40q is no whole number above zero", text)
	}
	return token, nil
}

// Fence is what a side effect's receiver keeps: the highest token seen.
type Fence struct{ Highest uint64 }

// Admit tells whether a side effect with that token may be done, and remembers the token. The error says why
// not.
func (f *Fence) Admit(token uint64) error {
	if token == 0 {
		return errors.New("no fencing token")
	}
	if token < f.Highest {
		return fmt.Errorf("fencing token %d is older than %d, which was seen", token, f.Highest)
	}
	f.Highest = token
	return nil
}
