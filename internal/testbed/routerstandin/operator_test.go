package routerstandin

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/http1"
	"cresshub/internal/router/controlserver"
)

func TestOperatorRetriesUntilAFinalAnswer(t *testing.T) {
	world := newTestWorld(t)
	calls := 0
	world.control.set(func(call *controlserver.Call) *http1.Response {
		if call.Path != configPath {
			return controlserver.JSON(200, []byte("{}"))
		}
		if calls++; calls < 3 {
			return controlserver.Text(503, "not now")
		}
		return controlserver.JSON(200, []byte("{}"))
	})
	world.Assert(world.operator.Put(world.timeoutContext(), testDocument(4)), qt.IsNil)
	world.Assert(calls, qt.Equals, 3)
	puts := world.control.got("PUT /api/config")
	world.Assert(puts[len(puts)-1].Header.Get("If-Match"), qt.Equals, "1")
	world.Assert(world.operator.Current().Version, qt.Equals, int64(4))
}

func TestOperatorTakesARejectionAsFinal(t *testing.T) {
	world := newTestWorld(t)
	world.control.set(func(call *controlserver.Call) *http1.Response {
		if call.Path != configPath {
			return controlserver.JSON(200, []byte("{}"))
		}
		return controlserver.Text(412, "version 9 is current")
	})
	err := world.operator.Put(world.timeoutContext(), testDocument(4))
	world.Assert(err, qt.ErrorMatches, `version 4 was rejected with 412 \(version 9 is current\); .*`)
	world.Assert(world.operator.Current().Version, qt.Equals, int64(1))
}
