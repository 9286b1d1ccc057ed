package dataplane

import (
	"fmt"
	"io"
	"net"
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"

	"cresshub/internal/http1"
	"cresshub/internal/router/agentsettings"
	"cresshub/internal/router/catalog"
)

// BenchmarkPlain is one request and its response, with client and server in this process.
func BenchmarkPlain(b *testing.B) {
	s := newServer(b, "i-1", "lookup", "", ok("the body"))
	r := newRig(b, nil, s)
	p := r.dial()
	b.ReportAllocs()
	for b.Loop() {
		p.ask("GET", "/safe/", "a", "")
	}
}

// BenchmarkSplit is a prompt prefilled by one server and a stream of 20 events decoded by another.
func BenchmarkSplit(b *testing.B) {
	reader := newServer(b, "i-r", "language", catalog.Prefill, prefillsPrompt("h"))
	writer := newServer(b, "i-w", "language", catalog.Decode, events(1, 20, true))
	r := newRig(b, nil, reader, writer)
	p := r.dial()
	b.ReportAllocs()
	for b.Loop() {
		p.ask("POST", "/model/", "a", "prompt", "Cresshub-Prompt-Prefix: a:800,b:410,c:250")
	}
}

// BenchmarkIdleClients measures the memory of a client that is connected and sends nothing now, and of one
// whose request waits for its server.
func BenchmarkIdleClients(b *testing.B) {
	const clients = 500
	for _, waits := range []bool{false, true} {
		b.Run(fmt.Sprintf("waits=%t", waits), func(b *testing.B) {
			goOn := make(chan bool)
			s := newServer(b, "i-1", "unbound", "", func(req *http1.Request, w io.Writer) bool {
				if waits {
					<-goOn
				}
				return ok("x")(req, w)
			})
			defer close(goOn)
			r := newRig(b, func(s *agentsettings.Settings, _ *fakeState) { s.Descriptors = 4100 }, s)
			before := inUse()
			for range clients {
				p, err := net.Dial("tcp", r.address)
				r.Assert(err, qt.IsNil)
				b.Cleanup(func() { p.Close() })
				io.WriteString(p, "GET /unbound/ HTTP/1.1\r\nHost: h\r\nCresshub-Try-Id: a\r\n\r\n")
			}
			r.eventually("all came", func() bool { return len(s.got()) == clients })
			for b.Loop() {
			}
			b.ReportMetric(float64(inUse()-before)/clients, "B/client")
		})
	}
}

// inUse is what the heap and the stacks take.
func inUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
