package dataplane

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"cresshub/internal/http1"
	"cresshub/internal/router/fleetconfig"
	"cresshub/internal/router/scheduler"
)

// Header fields that clients may set. Responses carry tryIDHeader too, to identify their request.
const (
	tryIDHeader     = "Cresshub-Try-Id"        // the client's ID of this attempt
	deadlineHeader  = "Cresshub-Deadline-Ms"   // how long the sender waits; set anew for each call
	lastEventHeader = "Last-Event-Id"          // ID of the last event of a stream that the client has
	modelHeader     = "Cresshub-Model"         // read only by model servers
	tokensHeader    = "Cresshub-Tokens"        // token counts of the prompt and the output, as "1460,200"
	prefixHeader    = "Cresshub-Prompt-Prefix" // prompt segments shared by requests, as "id:tokens,..."
)

// Header fields that only the proxy may set, in calls to servers.
const (
	expectServerHeader  = "Cresshub-Expect-Server" // ID of the incarnation that the call is meant for
	priorityHeader      = "Priority"               // at a model server; 0 is served first
	stageHeader         = "Cresshub-Stage"         // prefillStage in a prefill call
	kvFromHeader        = "Kv-From"                // where to fetch the prefix cache (kvHandle.source)
	expectVersionHeader = "Expect-Version"         // never set: a server of another version rejects the request
	prefillStage        = "reading"
)

// Header fields of responses of servers.
const (
	stampHeader  = "Cresshub-Server-Stamp" // ID of the run of the request; every success carries it
	notRunHeader = "Cresshub-Not-Run"      // the server did not run the request
	loadHeader   = "Cresshub-Server-Load"  // running and waiting requests, and slots, as "3,0,8"
)

// parseDeadline parses Cresshub-Deadline-Ms. It returns false for anything but a number of milliseconds from
// 0 to maxDeadline.
func parseDeadline(text string) (time.Duration, bool) {
	ms, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
	if err != nil || ms < 0 || ms > maxDeadline.Milliseconds() {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

// schedulingRequest returns what the scheduler needs to know of a request, parsed from its header. Fields
// that cannot be parsed are left out.
func schedulingRequest(header http1.Header, service *fleetconfig.Service) scheduler.Request {
	req := scheduler.Request{Service: service}
	in, out, _ := strings.Cut(header.Get(tokensHeader), ",")
	req.PromptTokens = parseCount(in)
	req.OutputTokens = parseCount(out)
	prefix := header.Get(prefixHeader)
	if prefix == "" {
		return req
	}
	for part := range strings.SplitSeq(prefix, ",") {
		id, tokens, ok := strings.Cut(strings.TrimSpace(part), ":")
		if !ok {
			req.Segments = nil
			return req
		}
		req.Segments = append(req.Segments, scheduler.Segment{ID: id, Tokens: parseCount(tokens)})
	}
	return req
}

// parseCount parses a number. It returns 0 for a negative number or anything else.
func parseCount(text string) int {
	n, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil || n < 0 {
		return 0
	}
	return n
}

// parseLoad parses Cresshub-Server-Load.
func parseLoad(text string) (scheduler.Load, bool) {
	var numbers [3]int
	parts := strings.Split(text, ",")
	if len(parts) != len(numbers) {
		return scheduler.Load{}, false
	}
	for i, part := range parts {
		n, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil || n < 0 {
			return scheduler.Load{}, false
		}
		numbers[i] = n
	}
	return scheduler.Load{Running: numbers[0], Waiting: numbers[1], Slots: numbers[2]}, true
}

// reservedFields are the fields of a client's request that are not forwarded. The deadline is replaced for
// each call. With the others, a client could have its prompt prefilled instead of answered, use another
// client's prefix cache, raise its priority, or be rejected by every server at the expense of the retry
// budget.
var reservedFields = []string{deadlineHeader, expectServerHeader, stageHeader, kvFromHeader, priorityHeader,
	expectVersionHeader}

// protectedFields are the fields that are forwarded even if a client's Connection field lists them as
// hop-by-hop: without one of them the server would run a different request than the client sent.
var protectedFields = []string{"Host", tryIDHeader, lastEventHeader, modelHeader, tokensHeader, prefixHeader}

// forwardedHeader returns the client's fields that every call of the request carries.
func (r *request) forwardedHeader() http1.Header {
	header := r.Header
	if !plainConnection(header.Get("Connection")) {
		header = slices.Clone(header)
		for i := range header {
			if strings.EqualFold(header[i].Name, "Connection") {
				header[i].Value = withoutProtected(header[i].Value)
			}
		}
	}
	return header.EndToEnd(reservedFields...)
}

// plainConnection reports whether a Connection field lists no other field.
func plainConnection(value string) bool {
	return value == "" || strings.EqualFold(value, "close") || strings.EqualFold(value, "keep-alive")
}

// withoutProtected returns a Connection field's list without the protected fields.
func withoutProtected(list string) string {
	var options []string
	for option := range strings.SplitSeq(list, ",") {
		same := func(name string) bool { return strings.EqualFold(name, strings.TrimSpace(option)) }
		if !slices.ContainsFunc(protectedFields, same) {
			options = append(options, option)
		}
	}
	return strings.Join(options, ",")
}
