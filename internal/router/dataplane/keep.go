package dataplane

import (
	"io"

	"cresshub/internal/http1"
)

// largestKept is how much of an answer is held until it is whole; a larger one is passed on as it comes.
const largestKept = 64 << 10

// keptAnswer is a server's answer that is held whole.
type keptAnswer struct {
	head *http1.Response
	body []byte
}

func wholeOnly(kept *keptAnswer, rest bool) *keptAnswer {
	if rest {
		return nil
	}
	return kept
}

// keep holds an answer until it is whole. Where it is too large for that, or no memory is left, rest is true
// and the body goes on.
func keep(c *call, head *http1.Response, body *http1.Body) (kept *keptAnswer, rest bool, err error) {
	kept = &keptAnswer{head: head}
	c.conn.SetReadDeadline(c.wholeUntil())
	for !body.Whole() {
		if len(kept.body) == cap(kept.body) && !c.delivery.client.growKept(kept, body.Length()) {
			return kept, true, nil
		}
		n, err := body.Read(kept.body[len(kept.body):cap(kept.body)])
		kept.body = kept.body[:len(kept.body)+n]
		if err != nil && err != io.EOF {
			return kept, false, err
		}
	}
	return kept, false, nil
}

// growKept makes room for more of an answer, length bytes long where that is known and else -1. The room is
// counted as the request's.
func (c *client) growKept(kept *keptAnswer, length int64) bool {
	size := max(2*cap(kept.body), firstRoom)
	if length >= 0 {
		size = int(min(length, largestKept))
	}
	more := size - cap(kept.body)
	if more <= 0 || size > largestKept || !c.front.bodies.Take(more) {
		return false
	}
	c.held += more
	kept.body = append(make([]byte, 0, size), kept.body...)
	return true
}
