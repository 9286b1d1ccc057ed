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

// fakeProxy is a router that is simple enough to be right, and that a test may make wrong.
type fakeProxy struct {
	world    *world
	listener *connserver.Listener

	mu       sync.Mutex
	wrong    func(p *fakeProxy, x *passing) bool // does a request in another way; false leaves it as it is
	previous string                              // the last answer's text
}

// passing is a request on its way through the proxy.
type passing struct {
	conn    *connbuffer.Conn
	request *http1.Request
}

func newFakeProxy(w *world) *fakeProxy {
	p := &fakeProxy{world: w}
	var err error
	p.listener, err = connserver.Listen("127.0.0.1:0", 0, p.serve)
	w.Assert(err, qt.IsNil)
	w.Cleanup(func() { p.listener.Close(false) })
	return p
}

func (p *fakeProxy) known() Proxy {
	return Proxy{Front: p.listener.Address(), Ready: p.listener.Address()}
}

// doWrong has the following requests passed on in another way.
func (p *fakeProxy) doWrong(wrong func(p *fakeProxy, x *passing) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wrong = wrong
}

func (p *fakeProxy) serve(conn *connbuffer.Conn) {
	for {
		request, err := readRequest(conn)
		if err != nil {
			return
		}
		p.mu.Lock()
		wrong := p.wrong
		p.mu.Unlock()
		x := &passing{conn, request}
		if wrong == nil || !wrong(p, x) {
			x.reply(p.answerOf(x.request))
		}
	}
}

// answerOf gets the answer of the right server as text.
func (p *fakeProxy) answerOf(request *http1.Request) string {
	if strings.HasPrefix(request.Target, "/firm/") || strings.HasPrefix(request.Target, "/resumable/") {
		return p.call(p.world.writer, request, field(kvFromHeader, p.readPrompt(request)))
	}
	return p.call(p.world.lookup, request)
}

// prefill has the prompt read and returns where its memory is.
func (p *fakeProxy) readPrompt(request *http1.Request) string {
	text := p.call(p.world.reader, request, field(stageHeader, StagePrefill))
	_, body, _ := strings.Cut(text, "\r\n\r\n")
	var answer struct {
		Handle string `json:"claim_ticket"`
	}
	p.world.Check(json.Unmarshal([]byte(body), &answer), qt.IsNil)
	return p.world.reader.Address() + "/" + answer.Handle
}

// call sends a request to a server and returns the answer as text, without chunks.
func (p *fakeProxy) call(server *Server, request *http1.Request, more ...http1.Field) string {
	conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", server.Address())
	p.world.Assert(err, qt.IsNil)
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(patience))
	r := connbuffer.NewConn(conn)
	sent := *request
	sent.Header = append(request.Header.EndToEnd(), field(expectHeader, server.ID()))
	sent.Header = append(sent.Header, more...)
	p.world.Assert(sent.Write(r.Out), qt.IsNil)
	p.world.Assert(r.Flush(), qt.IsNil)
	head, body, err := http1.ReadResponseHead(r.In, request.Method)
	p.world.Assert(err, qt.IsNil)
	whole, err := io.ReadAll(body)
	p.world.Assert(err, qt.IsNil)
	return textOf(head.Status, head.Header.EndToEnd(), string(whole))
}

// textOf lays an answer out.
func textOf(status int, header http1.Header, body string) string {
	var text bytes.Buffer
	fmt.Fprintf(&text, "HTTP/1.1 %d X\r\nContent-Length: %d\r\n", status, len(body))
	for _, f := range header {
		fmt.Fprintf(&text, "%s: %s\r\n", f.Name, f.Value)
	}
	return text.String() + "\r\n" + body
}

func (x *passing) reply(text string) {
	io.WriteString(x.conn.Out, text)
	x.conn.Flush()
}

// events splits the body of a stream's answer.
func events(text string) (head string, all []string) {
	head, body, _ := strings.Cut(text, "\r\n\r\n")
	return head, strings.SplitAfter(strings.TrimSuffix(body, "\n\n"), "\n\n")
}

// withEvents lays a stream's answer out anew with other events.
func withEvents(head string, all []string) string {
	body := strings.Join(all, "")
	if !strings.HasSuffix(body, "\n\n") {
		body += "\n\n"
	}
	var kept []string
	for line := range strings.SplitSeq(head, "\r\n") {
		if !strings.HasPrefix(line, "Content-Length") {
			kept = append(kept, line)
		}
	}
	return fmt.Sprintf("%s\r\nContent-Length: %d\r\n\r\n%s", strings.Join(kept, "\r\n"), len(body), body)
}
