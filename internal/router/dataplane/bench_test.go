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

// BenchmarkPlain measures one request and its response, with the client and the server in this process.
func BenchmarkPlain(b *testing.B) {
	server := newFakeServer(b, "i-1", "lookup", "", respondOK("the body"))
	rig := newRig(b, nil, server)
	client := rig.dial()
	b.ReportAllocs()
	for b.Loop() {
		client.do("GET", "/safe/", "a", "")
	}
}

// BenchmarkSplit measures a request whose prompt is prefilled by one server and whose stream of 20 events is
// decoded by another.
func BenchmarkSplit(b *testing.B) {
	prefiller := newFakeServer(b, "i-r", "language", catalog.Prefill, respondHandle("h"))
	decoder := newFakeServer(b, "i-w", "language", catalog.Decode, streamEvents(1, 20, true))
	rig := newRig(b, nil, prefiller, decoder)
	client := rig.dial()
	b.ReportAllocs()
	for b.Loop() {
		client.do("POST", "/model/", "a", "prompt", "Cresshub-Prompt-Prefix: a:800,b:410,c:250")
	}
}

// BenchmarkIdleClients measures the memory per client, of clients that are connected and idle, and of clients
// whose requests wait for their server.
func BenchmarkIdleClients(b *testing.B) {
	const clients = 500
	for _, waits := range []bool{false, true} {
		b.Run(fmt.Sprintf("waits=%t", waits), func(b *testing.B) {
			proceed := make(chan bool)
			server := newFakeServer(b, "i-1", "unbound", "", func(req *http1.Request, w io.Writer) bool {
				if waits {
					<-proceed
				}
				return respondOK("x")(req, w)
			})
			defer close(proceed)
			rig := newRig(b, func(s *agentsettings.Settings, _ *fakeState) { s.Descriptors = 4100 }, server)
			before := memoryInUse()
			for range clients {
				conn, err := net.Dial("tcp", rig.address)
				rig.Assert(err, qt.IsNil)
				b.Cleanup(func() { conn.Close() })
				io.WriteString(conn, "GET /unbound/ HTTP/1.1\r\nHost: h\r\nCresshub-Try-Id: a\r\n\r\n")
			}
			rig.eventually("all requests have arrived", func() bool { return len(server.got()) == clients })
			for b.Loop() {
			}
			b.ReportMetric(float64(memoryInUse()-before)/clients, "B/client")
		})
	}
}

// memoryInUse returns the bytes that the heap and the stacks take after a garbage collection.
func memoryInUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
