package adminapi

import (
	"encoding/json"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strings"

	"cresshub/internal/http1"
)

// endpoint handles the calls to one path.
type endpoint struct {
	method  string
	respond func(query string) *http1.Response // query is the target's part after "?"
}

// HandleGet adds the call GET path. Its response is the value, as JSON, that read returns for the query's
// parameters. HandleGet must be called before Serve. Several goroutines may call read at once.
func (s *Server) HandleGet(path string, read func(url.Values) any) {
	s.added[path] = endpoint{http.MethodGet, jsonEndpoint(read)}
}

// HandlePost is HandleGet for POST path, a call with an effect: act performs it by the query's parameters and
// returns the value of the response.
func (s *Server) HandlePost(path string, act func(url.Values) any) {
	s.added[path] = endpoint{http.MethodPost, jsonEndpoint(act)}
}

// respond returns the response to a call, which depends on its path and method.
func (s *Server) respond(request *http1.Request) *http1.Response {
	path, query, _ := strings.Cut(request.Target, "?")
	endpoint, ok := s.added[path]
	if !ok {
		endpoint, ok = s.builtin[path]
	}
	if !ok {
		return textResponse(http1.StatusNotFound, "no such call; there are GET /_ready, GET /_vars"+s.addedList()+
			" and POST /_lameduck/on and off")
	}
	if request.Method != endpoint.method {
		response := textResponse(http1.StatusMethodNotAllowed, "the method is "+endpoint.method)
		response.Header = append(response.Header, http1.Field{Name: "Allow", Value: endpoint.method})
		return response
	}
	return endpoint.respond(query)
}

// addedList returns the added calls by method and path, with a comma before each.
func (s *Server) addedList() string {
	var out strings.Builder
	for _, path := range slices.Sorted(maps.Keys(s.added)) {
		out.WriteString(", " + s.added[path].method + " " + path)
	}
	return out.String()
}

// ready responds to the readiness check.
func (s *Server) ready(string) *http1.Response {
	if ok, reason := s.proxy.Ready(); !ok {
		return textResponse(http1.StatusServiceUnavailable, reason)
	}
	return textResponse(http1.StatusOK, "ready")
}

// vars responds with the metrics.
func (s *Server) vars(string) *http1.Response {
	var text strings.Builder
	_ = s.stats.WriteVars(&text, s.proxy.Gauges()) // writing to a Builder can't fail
	return textResponse(http1.StatusOK, strings.TrimSuffix(text.String(), "\n"))
}

// lameDuck returns the handler of the call that begins or ends a drain.
func (s *Server) lameDuck(on bool) func(string) *http1.Response {
	return func(string) *http1.Response {
		s.log.Info("admin: lame duck", "on", on)
		s.proxy.LameDuck(on)
		return textResponse(http1.StatusOK, "done")
	}
}

// jsonEndpoint returns a handler that calls call with the query's parameters and responds with its result as
// JSON.
func jsonEndpoint(call func(url.Values) any) func(string) *http1.Response {
	return func(query string) *http1.Response {
		params, err := url.ParseQuery(query)
		if err != nil {
			return textResponse(http1.StatusBadRequest, "the query cannot be read")
		}
		body, err := json.Marshal(call(params))
		if err != nil {
			return textResponse(http1.StatusInternalServerError, err.Error())
		}
		return &http1.Response{
			Status: http1.StatusOK, Body: append(body, '\n'),
			Header: http1.Header{{Name: "Content-Type", Value: "application/json"}},
		}
	}
}

// textResponse returns a response with one line of text.
func textResponse(status int, text string) *http1.Response {
	return &http1.Response{
		Status: status, Body: []byte(text + "\n"),
		Header: http1.Header{{Name: "Content-Type", Value: "text/plain; charset=utf-8"}},
	}
}
