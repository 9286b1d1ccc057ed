package ingress

import (
	"hash/fnv"
	"math"
	"net/url"
	"strconv"
	"strings"
	"time"

	"cresshub/internal/http1"
	"cresshub/internal/proxy/dispatch"
)

// Header fields of a request, named as on the operators' page.
const (
	idField             = "X-Request-ID"       // unique among open requests; a retry has its own
	firstAttemptIDField = "X-First-Request-ID" // of a client's retry: the id of the request that it repeats
	retriedField        = "X-Retried"          // "1" in a client's retry
	classField          = "X-Priority-Class"
	tenantField         = "X-Tenant-Id"
	timeoutField        = "X-Timeout" // s from the request's last byte that the client waits
)

// routingFields are the header fields that decide how a request is handled. None may come twice.
var routingFields = []string{idField, classField, tenantField, timeoutField, retriedField, "Host"}

// maxTimeout bounds a request's time. A longer X-Timeout is as good as none.
const maxTimeout = time.Hour

// parse returns what package dispatch needs to know of a request. A status other than 0, with its reason,
// means that the request is rejected. The class is set in any case, to -1 if no known one is named.
func (s *Server) parse(message *http1.Request, arrived time.Time) (
	r dispatch.Request, status int, reason string,
) {
	var known bool
	if r.Class, known = s.classes[message.Header.Get(classField)]; !known {
		r.Class = -1
	}
	if message.Method != "GET" && message.Method != "HEAD" && message.Method != "POST" {
		return r, 405, "method is none of GET, HEAD and POST"
	}
	if message.Header.Get(idField) == "" {
		return r, 400, "no X-Request-ID"
	}
	if name := message.Header.Repeated(routingFields...); name != "" { // another reader may go by the other one
		return r, 400, name + " is repeated"
	}
	if message.Method != "POST" && (len(message.Body) > 0 || message.Length != 0) {
		return r, 400, "GET with a body"
	}
	if !known {
		return r, 400, "X-Priority-Class names no class"
	}
	var ok bool
	if r.Tenant, ok = s.tenants[message.Header.Get(tenantField)]; !ok && len(s.tenants) > 0 {
		return r, 400, "X-Tenant-Id names no tenant"
	}
	timeout, err := strconv.ParseFloat(message.Header.Get(timeoutField), 64)
	if err != nil || !(timeout > 0) || math.IsInf(timeout, 0) {
		return r, 400, "X-Timeout is no time"
	}
	r.Deadline = arrived.Add(time.Duration(min(timeout, maxTimeout.Seconds()) * float64(time.Second)))
	r.ClientRetry = message.Header.Get(retriedField) == "1"
	r.Key, r.HasKey = parseKey(message.Target)
	return r, 0, ""
}

// parseKey returns the key that a request's target names. Keys are 16 hex digits; any other text is hashed.
func parseKey(target string) (uint64, bool) {
	_, query, _ := strings.Cut(target, "?")
	for pair := range strings.SplitSeq(query, "&") {
		name, value, _ := strings.Cut(pair, "=")
		if name != "key" || value == "" {
			continue
		}
		if k, err := strconv.ParseUint(value, 16, 64); err == nil {
			return k, true
		}
		if plain, err := url.QueryUnescape(value); err == nil {
			value = plain
		}
		h := fnv.New64a()
		h.Write([]byte(value))
		return h.Sum64(), true
	}
	return 0, false
}
