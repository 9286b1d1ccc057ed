package proxystandin

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"cresshub/internal/connbuffer"
	"cresshub/internal/http1"
)

// Each request is counted once, whatever the server does with it.
func TestLoadCountsEachRequestOnce(t *testing.T) {
	answers := map[string]string{
		"a-0": "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\na-0 served by z\n", "a-1": "HTTP/1.1 503 x\r\n" +
			"Content-Length: 0\r\n\r\n", "a-2": "HTTP/1.1 502 x\r\nContent-Length: 0\r\n\r\n", "a-3": "",
		"a-4": "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nother x", // to another request
	}
	l, err := Listen("127.0.0.1:0", 0, func(c *connbuffer.Conn) {
		for {
			q, err := http1.ReadRequest(c.In)
			if err != nil {
				return
			}
			text, ok := answers[q.Header.Get("X-Request-ID")]
			if !ok {
				text = answers["a-1"]
			}
			io.WriteString(c.Out, text)
			if c.Flush() != nil || text == "" {
				return
			}
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close(false)
	// Where this process is stalled, all arrivals of that time come at once: there are connections for those of
	// many seconds, so that none is left unsent.
	load := NewLoad(LoadOptions{Address: l.Address(), Rate: 200, IDPrefix: "a", MaxConnections: 4000,
		Classes: []LoadClass{
			{Name: "x", Fraction: 1, LatencyTarget: time.Hour, Deadline: patience, Value: 2}}})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for load.Tally().Totals().Offered < 20 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	load.Run(ctx)
	got := load.Tally().Totals()
	sum := 0
	for _, n := range got.ByKind {
		sum += n
	}
	if got.ByKind[Served] != 2 || got.ByKind[Failed] != 1 || got.ByKind[NoAnswer] != 1 || got.Mismatched != 1 ||
		got.ByKind[Refused] != got.Offered-4 || sum != got.Offered || got.Servers["z"] != 1 || got.InTime != 2 {
		t.Errorf("%+v", got)
	}
	if !strings.HasPrefix(fmt.Sprint(load.idle), "[]") || load.open != 0 {
		t.Errorf("%d connections left", load.open)
	}
}
