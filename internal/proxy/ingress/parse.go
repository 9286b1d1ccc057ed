package ingress

import (
	"hash/fnv"
	"math"
	"net/http"
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

// noClass is the class of a request that names none of the settings.
const noClass = -1

// rejection is a response that rejects a request; the zero value rejects nothing.
type rejection struct {
	status int    // of HTTP
	reason string // for the client and the log
}

// rejects reports whether the request is rejected.
func (r rejection) rejects() bool { return r.status != 0 }

// badRequest rejects a request that the client has to correct.
func badRequest(reason string) rejection { return rejection{http1.StatusBadRequest, reason} }

// parse returns what package dispatch needs to know of a request, or a rejection. The class is set in any
// case, to noClass if no known one is named.
func (s *Server) parse(message *http1.Request, arrived time.Time) (request dispatch.Request, _ rejection) {
	class, classKnown := s.classes[message.Header.Get(classField)]
	if !classKnown {
		class = noClass
	}
	request.Class = class
	if rejection := checkMessage(message); rejection.rejects() {
		return request, rejection
	}
	if !classKnown {
		return request, badRequest("X-Priority-Class names no class")
	}
	var tenantKnown bool
	request.Tenant, tenantKnown = s.tenants[message.Header.Get(tenantField)]
	if !tenantKnown && len(s.tenants) > 0 {
		return request, badRequest("X-Tenant-Id names no tenant")
	}
	timeout, err := strconv.ParseFloat(message.Header.Get(timeoutField), 64)
	if err != nil || !(timeout > 0) || math.IsInf(timeout, 0) {
		return request, badRequest("X-Timeout is no time")
	}
	request.Deadline = arrived.Add(time.Duration(min(timeout, maxTimeout.Seconds()) * float64(time.Second)))
	request.ClientRetry = message.Header.Get(retriedField) == "1"
	request.Key, request.HasKey = parseKey(message.Target)
	return request, rejection{}
}

// checkMessage rejects a message that is no request of this proxy, whatever the settings.
func checkMessage(message *http1.Request) rejection {
	if message.Method != http.MethodGet && message.Method != http.MethodHead &&
		message.Method != http.MethodPost {
		return rejection{http1.StatusMethodNotAllowed, "method is none of GET, HEAD and POST"}
	}
	if message.Header.Get(idField) == "" {
		return badRequest("no X-Request-ID")
	}
	if name := message.Header.Repeated(routingFields...); name != "" { // servers may go by the other one
		return badRequest(name + " is repeated")
	}
	if message.Method != http.MethodPost && (len(message.Body) > 0 || message.Length != 0) {
		return badRequest("GET with a body")
	}
	return rejection{}
}

// parseKey returns the key that a request's target names, if any. Keys are 16 hex digits; any other text is
// hashed.
func parseKey(target string) (key uint64, ok bool) {
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
