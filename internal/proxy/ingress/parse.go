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

// Header fields of a request.
const (
	idField             = "X-Request-ID"       // unique among requests in flight; a client's retry has its own
	firstAttemptIDField = "X-First-Request-ID" // in a client's retry: the id of the original request
	retriedField        = "X-Retried"          // "1" in a client's retry
	classField          = "X-Priority-Class"
	tenantField         = "X-Tenant-Id"
	timeoutField        = "X-Timeout" // seconds that the client waits, from the request's last byte
)

// singleFields are the header fields that decide how a request is handled. None may be repeated.
var singleFields = []string{idField, classField, tenantField, timeoutField, retriedField, "Host"}

// maxTimeout is the longest time that a request may take; a longer X-Timeout is reduced to it.
const maxTimeout = time.Hour

// unknownClass is the class of a request that names no class, or one that is not in the settings.
const unknownClass = -1

// rejection is a response that rejects a request; the zero value rejects nothing.
type rejection struct {
	status int    // HTTP status; 0 if the request is not rejected
	reason string // sent to the client, and logged
}

func (r rejection) rejects() bool { return r.status != 0 }

// badRequest returns a rejection with status 400: the client has to correct the request.
func badRequest(reason string) rejection { return rejection{http1.StatusBadRequest, reason} }

// parse returns a request as package dispatch needs it, or a rejection. The class is set in both cases, to
// unknownClass if it is missing or not in the settings.
func (s *Server) parse(message *http1.Request, arrived time.Time) (request dispatch.Request, _ rejection) {
	class, classKnown := s.classes[message.Header.Get(classField)]
	if !classKnown {
		class = unknownClass
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

// checkMessage rejects a message that is invalid whatever the settings are.
func checkMessage(message *http1.Request) rejection {
	if message.Method != http.MethodGet && message.Method != http.MethodHead &&
		message.Method != http.MethodPost {
		return rejection{http1.StatusMethodNotAllowed, "method is none of GET, HEAD and POST"}
	}
	if message.Header.Get(idField) == "" {
		return badRequest("no X-Request-ID")
	}
	if name := message.Header.Repeated(singleFields...); name != "" { // a server might use the other value
		return badRequest(name + " is repeated")
	}
	if message.Method != http.MethodPost && (len(message.Body) > 0 || message.Length != 0) {
		return badRequest("GET with a body")
	}
	return rejection{}
}

// parseKey returns the key from the query of a request's target, if it has one. A value that is a hexadecimal
// number of up to 64 bits, like the usual 16 digits, is the key itself; any other text is hashed.
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
