package lease

import (
	"errors"
	"fmt"
	"strconv"
)

// TokenHeader is the HTTP header that carries a fencing token.
const TokenHeader = "X-Fencing-Token"

// ErrNoToken is returned for a call without a fencing token.
var ErrNoToken = errors.New("no fencing token")

// ParseToken parses the value of TokenHeader: a decimal number above zero. It returns ErrNoToken for "".
func ParseToken(text string) (uint64, error) {
	if text == "" {
		return 0, ErrNoToken
	}
	token, err := strconv.ParseUint(text, 10, 64)
	if err != nil || token == 0 {
		return 0, fmt.Errorf("fencing token %.40q is no whole number above zero", text)
	}
	return token, nil
}

// Fence checks fencing tokens for a receiver of side effects, which calls Admit before it performs each of
// them. Its zero value admits any token above 0. It is not safe for concurrent use.
type Fence struct {
	HighestToken uint64 // highest token admitted so far, 0 if none
}

// Admit records the token of a side effect. It returns an error if the side effect must not be performed: the
// token is 0 (ErrNoToken) or lower than HighestToken.
func (f *Fence) Admit(token uint64) error {
	if token == 0 {
		return ErrNoToken
	}
	if token < f.HighestToken {
		return fmt.Errorf("fencing token %d is older than %d, which was seen", token, f.HighestToken)
	}
	f.HighestToken = token
	return nil
}
