package adminapi

import (
	"encoding/json"
	"maps"
	"net/url"
	"slices"
	"strings"

	"cresshub/internal/http1"
)

// endpoint is one call: its method, and what answers it by the query's text.
type endpoint struct {
	method  string
	respond func(query string) *http1.Response
}

// HandleGet adds the call GET path, whose response is what read returns for the query's parameters, as JSON.
// It must be called before Serve.
func (s *Server) HandleGet(path string, read func(url.Values) any) {
	s.added[path] = endpoint{"GET", jsonEndpoint(read)}
}

// HandlePost adds the call POST path, which does something by the query's parameters and answers in JSON. It
// must be called before Serve.
func (s *Server) HandlePost(path string, act func(url.Values) any) {
	s.added[path] = endpoint{"POST", jsonEndpoint(act)}
}

// respond answers a call by its path and method.
func (s *Server) respond(q *http1.Request) *http1.Response {
	path, query, _ := strings.Cut(q.Target, "?")
	called, ok := s.added[path]
	if !ok {
		called, ok = s.builtin[path]
	}
	if !ok {
		return textResponse(404, "no such call; there are GET /_ready, GET /_vars"+s.addedList()+
			" and POST /_lameduck/on and off")
	}
	if q.Method != called.method {
		response := textResponse(405, "the method is "+called.method)
		response.Header = append(response.Header, http1.Field{Name: "Allow", Value: called.method})
		return response
	}
	return called.respond(query)
}

// addedList names the added calls, each after a comma.
func (s *Server) addedList() string {
	var out strings.Builder
	for _, path := range slices.Sorted(maps.Keys(s.added)) {
		out.WriteString(", " + s.added[path].method + " " + path)
	}
	return out.String()
}

func (s *Server) ready(string) *http1.Response {
	if ok, why := s.proxy.Ready(); !ok {
		return textResponse(503, why)
	}
	return textResponse(200, "ready")
}

func (s *Server) vars(string) *http1.Response {
	var text strings.Builder
	_ = s.stats.WriteVars(&text, s.proxy.Gauges()) // a builder takes everything
	return textResponse(200, strings.TrimSuffix(text.String(), "\n"))
}

func (s *Server) lameDuck(on bool) func(string) *http1.Response {
	return func(string) *http1.Response {
		s.log.Info("lame duck", "on", on)
		s.proxy.LameDuck(on)
		return textResponse(200, "done")
	}
}

// jsonEndpoint answers with the JSON of what call returns for the query's parameters.
func jsonEndpoint(call func(url.Values) any) func(string) *http1.Response {
	return func(query string) *http1.Response {
		params, err := url.ParseQuery(query)
		if err != nil {
			return textResponse(400, "the query cannot be read")
		}
		body, err := json.Marshal(call(params))
		if err != nil {
			return textResponse(500, err.Error())
		}
		return &http1.Response{Status: 200, Body: append(body, '\n'),
			Header: http1.Header{{Name: "Content-Type", Value: "application/json"}}}
	}
}

func textResponse(status int, text string) *http1.Response {
	return &http1.Response{Status: status, Body: []byte(text + "\n"),
		Header: http1.Header{{Name: "Content-Type", Value: "text/plain; charset=utf-8"}}}
}
