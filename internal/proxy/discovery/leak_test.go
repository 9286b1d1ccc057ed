package discovery

import (
	"testing"

	"cresshub/internal/testbed/leaktest"
)

func TestMain(m *testing.M) { leaktest.VerifyTestMain(m) }
