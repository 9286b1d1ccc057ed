package routerstandin

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"cresshub/internal/router/controlclient"
)

// fetchTimeout bounds the transfer of a prefix cache.
const fetchTimeout = 2 * time.Second

// fetchPrefix transfers a prefix cache, given as IP:PORT/HANDLE, from the server that computed it, and
// reports whether that succeeded.
func (x *exchange) fetchPrefix(from string) bool {
	address, handle, ok := strings.Cut(from, "/")
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	answer, err := controlclient.Do(ctx, address, controlclient.Call{Method: "DELETE",
		Target: handlePath + handle})
	if err != nil || answer.Status != 200 {
		return false
	}
	x.server.options.Observations.recordHandleUse(handle, x.arrival)
	return true
}

// releaseHandle hands a prefix cache out, after which it is freed.
func (x *exchange) releaseHandle(handle string) {
	tokens, ok := x.server.engine.claim(handle)
	if !ok {
		x.answer(404)
		return
	}
	document, _ := json.Marshal(map[string]int{"tokens": tokens})
	x.answerJSON(200, document)
}
