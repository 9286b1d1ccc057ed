package routerstandin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/connbuffer"
	"cresshub/internal/http1"
	"cresshub/internal/testbed/connserver"
)

// fakeProxy is a router that is simple enough to be correct, and that a test may make misbehave.
type fakeProxy struct {
	world    *testWorld
	listener *connserver.Listener

	mu sync.Mutex
	// misbehave serves a request in a wrong way; false leaves it to be served correctly.
	misbehave func(proxy *fakeProxy, exchange *proxiedRequest) bool
	previous  string // text of the last response
}

// proxiedRequest is a request on its way through the proxy.
type proxiedRequest struct {
	conn    *connbuffer.Conn
	request *http1.Request
}

// newFakeProxy starts a correct proxy for the time of the test.
func newFakeProxy(world *testWorld) *fakeProxy {
	proxy := &fakeProxy{world: world}
	var err error
	proxy.listener, err = connserver.Listen("127.0.0.1:0", 0, proxy.serve)
	world.Assert(err, qt.IsNil)
	world.Cleanup(func() { proxy.listener.Close(false) })
	return proxy
}

// asProxy returns the proxy as clients know it.
func (p *fakeProxy) asProxy() Proxy {
	return Proxy{Front: p.listener.Address(), Ready: p.listener.Address()}
}

// setMisbehaviour serves the following requests in a wrong way.
func (p *fakeProxy) setMisbehaviour(misbehave func(proxy *fakeProxy, exchange *proxiedRequest) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.misbehave = misbehave
}

// serve responds to the requests of one connection, one after the other.
func (p *fakeProxy) serve(conn *connbuffer.Conn) {
	for {
		request, err := readRequest(conn)
		if err != nil {
			return
		}
		p.mu.Lock()
		misbehave := p.misbehave
		p.mu.Unlock()
		exchange := &proxiedRequest{conn, request}
		if misbehave == nil || !misbehave(p, exchange) {
			exchange.reply(p.correctResponse(exchange.request))
		}
	}
}

// correctResponse returns the response of the correct server as text.
func (p *fakeProxy) correctResponse(request *http1.Request) string {
	if strings.HasPrefix(request.Target, "/firm/") || strings.HasPrefix(request.Target, "/resumable/") {
		return p.call(p.world.decodeServer, request, field(kvFromHeader, p.readPrompt(request)))
	}
	return p.call(p.world.lookup, request)
}

// readPrompt has a server compute the prefix cache of the prompt and returns its address and handle.
func (p *fakeProxy) readPrompt(request *http1.Request) string {
	text := p.call(p.world.prefillServer, request, field(stageHeader, StagePrefill))
	_, body, _ := strings.Cut(text, "\r\n\r\n")
	var prefilled struct {
		Handle string `json:"claim_ticket"`
	}
	p.world.Check(json.Unmarshal([]byte(body), &prefilled), qt.IsNil)
	return p.world.prefillServer.Address() + "/" + prefilled.Handle
}

// call sends a request to a server and returns the response as text, without chunks.
func (p *fakeProxy) call(server *Server, request *http1.Request, more ...http1.Field) string {
	conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", server.Address())
	p.world.Assert(err, qt.IsNil)
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(patience))
	buffered := connbuffer.NewConn(conn)
	sent := *request
	sent.Header = append(request.Header.EndToEnd(), field(expectHeader, server.ID()))
	sent.Header = append(sent.Header, more...)
	p.world.Assert(sent.Write(buffered.Out), qt.IsNil)
	p.world.Assert(buffered.Flush(), qt.IsNil)
	head, body, err := http1.ReadResponseHead(buffered.In, request.Method)
	p.world.Assert(err, qt.IsNil)
	content, err := io.ReadAll(body)
	p.world.Assert(err, qt.IsNil)
	return responseText(head.Status, head.Header.EndToEnd(), string(content))
}

// responseText returns a response as it stands on the wire.
func responseText(status int, header http1.Header, body string) string {
	var text bytes.Buffer
	fmt.Fprintf(&text, "HTTP/1.1 %d X\r\nContent-Length: %d\r\n", status, len(body))
	for _, f := range header {
		fmt.Fprintf(&text, "%s: %s\r\n", f.Name, f.Value)
	}
	return text.String() + "\r\n" + body
}

// reply sends a response to the client, whatever text it is.
func (r *proxiedRequest) reply(text string) {
	io.WriteString(r.conn.Out, text)
	r.conn.Flush()
}

// events splits the response with a stream into its head and its events.
func events(text string) (head string, all []string) {
	head, body, _ := strings.Cut(text, "\r\n\r\n")
	return head, strings.SplitAfter(strings.TrimSuffix(body, "\n\n"), "\n\n")
}

// withEvents returns the response with a stream of these events.
func withEvents(head string, all []string) string {
	body := strings.Join(all, "")
	if !strings.HasSuffix(body, "\n\n") {
		body += "\n\n"
	}
	var fields []string
	for line := range strings.SplitSeq(head, "\r\n") {
		if !strings.HasPrefix(line, "Content-Length") {
			fields = append(fields, line)
		}
	}
	return fmt.Sprintf("%s\r\nContent-Length: %d\r\n\r\n%s", strings.Join(fields, "\r\n"), len(body), body)
}
