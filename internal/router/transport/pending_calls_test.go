package transport

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/router/peerproto"
)

// TestAnswersCompleteTheirPendingCall: an answer must reach only its own call, and only the first answer to
// it. An answer to a call that has ended must be rejected.
func TestAnswersCompleteTheirPendingCall(t *testing.T) {
	c := qt.New(t)
	var calls pendingCalls
	answerTo := func(id uint64, body string) peerproto.Frame {
		return peerproto.Frame{Kind: peerproto.KindAck, CallID: id, Body: []byte(body)}
	}
	firstID, firstAnswer := calls.add()
	secondID, secondAnswer := calls.add()
	c.Assert(firstID, qt.Not(qt.Equals), secondID)
	c.Assert(calls.complete(answerTo(0, "of no call")), qt.IsFalse)
	c.Assert(calls.complete(answerTo(secondID, "second")), qt.IsTrue)
	c.Assert(calls.complete(answerTo(secondID, "again")), qt.IsTrue)
	c.Assert(string((<-secondAnswer).Body), qt.Equals, "second")
	c.Assert(firstAnswer, qt.HasLen, 0)
	calls.remove(firstID)
	c.Assert(calls.complete(answerTo(firstID, "late")), qt.IsFalse)
	thirdID, _ := calls.add()
	c.Assert(thirdID, qt.Equals, secondID+1)
}
