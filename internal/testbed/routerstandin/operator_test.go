package routerstandin

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/http1"
	"cresshub/internal/router/controlserver"
)

func TestOperatorRetriesUntilAFinalAnswer(t *testing.T) {
	w := newWorld(t)
	calls := 0
	w.control.set(func(call *controlserver.Call) *http1.Response {
		if call.Path != configPath {
			return controlserver.JSON(200, []byte("{}"))
		}
		if calls++; calls < 3 {
			return controlserver.Text(503, "not now")
		}
		return controlserver.JSON(200, []byte("{}"))
	})
	w.Assert(w.operator.Put(w.bounded(), testDocument(4)), qt.IsNil)
	w.Assert(calls, qt.Equals, 3)
	puts := w.control.got("PUT /api/config")
	w.Assert(puts[len(puts)-1].Header.Get("If-Match"), qt.Equals, "1")
	w.Assert(w.operator.Current().Version, qt.Equals, int64(4))
}

func TestOperatorTakesARejectionAsFinal(t *testing.T) {
	w := newWorld(t)
	w.control.set(func(call *controlserver.Call) *http1.Response {
		if call.Path != configPath {
			return controlserver.JSON(200, []byte("{}"))
		}
		return controlserver.Text(412, "edition 9 is current")
	})
	err := w.operator.Put(w.bounded(), testDocument(4))
	w.Assert(err, qt.ErrorMatches, `edition 4 was refused with 412 \(edition 9 is current\); .*`)
	w.Assert(w.operator.Current().Version, qt.Equals, int64(1))
}
