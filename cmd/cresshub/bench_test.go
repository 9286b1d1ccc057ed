package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cresshub/internal/connbuffer"
	"cresshub/internal/http1"
	"cresshub/internal/proxy/config"
	"cresshub/internal/proxy/daemon"
	"cresshub/internal/testbed/nettest"
)

// The benchmarks send requests over real loopback sockets to a server that responds at once. Each connection
// stays open and carries one request at a time. The cost of client and server is the same for each
// alternative of a run.

// sendRequests sends b.N requests and reads their responses.
func sendRequests(b *testing.B, address string) {
	b.Helper()
	var ids atomic.Int64
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		nc, err := net.Dial("tcp", address)
		if err != nil {
			b.Error(err)
			return
		}
		defer nc.Close()
		c := connbuffer.NewConn(nc)
		for pb.Next() {
			c.SetDeadline(time.Now().Add(nettest.Patience))
			io.WriteString(c.Out, nettest.Request("GET", "lookup", strconv.FormatInt(ids.Add(1), 10), time.Second))
			if err := c.Flush(); err != nil {
				b.Error(err)
				return
			}
			if a, err := http1.ReadResponse(c.In); err != nil || a.Status != 200 {
				b.Errorf("%+v, %v", a, err)
				return
			}
		}
	})
	b.StopTimer()
}

// startFastServer starts a server that responds at once.
func startFastServer(b *testing.B) *nettest.ScriptedServer {
	b.Helper()
	return nettest.Serve(b, nettest.Zone(func(*http1.Request) *http1.Response { return nettest.OK("done\n") }))
}

// BenchmarkRequest measures the cost of a request sent directly to the server, through a net/http
// ReverseProxy, and through a cresshub proxy in this process (ingress, dispatch and upstream), with the
// request log off and on, and with the ledger on.
func BenchmarkRequest(b *testing.B) {
	upstream := startFastServer(b)
	b.Run("direct", func(b *testing.B) { sendRequests(b, upstream.Address) })
	b.Run("ReverseProxy", func(b *testing.B) {
		target := &url.URL{Scheme: "http", Host: upstream.Address}
		proxy := httputil.NewSingleHostReverseProxy(target)
		proxy.Transport = &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		server := &http.Server{Handler: proxy}
		go server.Serve(l)
		defer server.Close()
		sendRequests(b, l.Addr().String())
	})
	for _, c := range []struct{ name, set string }{
		{"cresshub", ""}, {"cresshub-log", "[log]\nrequests = true\nrequest_rate = 0.0\n"},
	} {
		b.Run(c.name, func(b *testing.B) {
			p, stop := runProxy(b, tomlConfig(upstream)+c.set)
			sendRequests(b, p.Address())
			stop()
		})
	}
	// With the ledger on, all three of its replicas run in this process, so the result includes the cost of the
	// other two.
	b.Run("cresshub-ledger", func(b *testing.B) {
		gossip, adminAddress := unusedAddress(b), unusedAddress(b)
		var first *daemon.Proxy
		for i, seeds := range []string{"", gossip, gossip} {
			text := fmt.Sprintf("name = \"m-%d\"\n", i)
			bind := "127.0.0.1:0"
			if i == 0 {
				text, bind = text+fmt.Sprintf("operator = %q\n", adminAddress), gossip
			}
			text += tomlConfig(upstream) + fmt.Sprintf("[fleet]\nbind = %q\n", bind)
			if seeds != "" {
				text += fmt.Sprintf("seeds = [%q]\n", seeds)
			}
			text += fmt.Sprintf("[ledger]\nbind = \"127.0.0.1:0\"\ndata = %q\n", b.TempDir())
			p, stop := runProxy(b, text)
			defer stop()
			if first == nil {
				first = p
			}
		}
		for began := time.Now(); ; time.Sleep(20 * time.Millisecond) {
			var page daemon.LedgerPage
			a, err := http.Get("http://" + adminAddress + "/_ledger")
			if err == nil {
				err = json.NewDecoder(a.Body).Decode(&page)
				a.Body.Close()
			}
			if err == nil && len(page.Group.Voters) == 3 && page.Ledger != nil {
				break
			}
			if time.Since(began) > time.Minute {
				b.Fatalf("the ledger group has not formed within a minute: %+v (%v)", page, err)
			}
		}
		sendRequests(b, first.Address())
	})
}

// unusedAddress returns a loopback address that no process listens on at the time of the call.
func unusedAddress(b *testing.B) string {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// runProxy runs a proxy in this process with the text of a TOML configuration; stop ends it as SIGINT does.
func runProxy(b *testing.B, text string) (p *daemon.Proxy, stop func()) {
	b.Helper()
	file := filepath.Join(b.TempDir(), "c.toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		b.Fatal(err)
	}
	cfg, err := config.Load(config.Input{File: file, Environ: func() []string { return nil }})
	if err != nil {
		b.Fatal(err)
	}
	if p, err = daemon.New(cfg, io.Discard); err != nil {
		b.Fatal(err)
	}
	signals := make(chan os.Signal, 1)
	ended := make(chan struct{})
	go func() {
		p.Run(signals, nil)
		close(ended)
	}()
	return p, func() {
		signals <- os.Interrupt
		<-ended
	}
}

// BenchmarkProcess compares binaries, started as the platform starts them. BENCH_BINARIES lists them as
// name=path,name=path. In addition to the cost of a request it reports the time from the start to readiness,
// and the resident memory before and after the load.
func BenchmarkProcess(b *testing.B) {
	binaries := os.Getenv("BENCH_BINARIES")
	if binaries == "" {
		b.Skip("BENCH_BINARIES lists no binary")
	}
	upstream := startFastServer(b)
	for pair := range strings.SplitSeq(binaries, ",") {
		name, path, _ := strings.Cut(pair, "=")
		b.Run(name, func(b *testing.B) {
			file := filepath.Join(b.TempDir(), "config.json")
			text := platformConfig("127.0.0.1:1", serverList("in_service", upstream), 200)
			text = strings.Replace(text, `"memory_mb":64`, `"memory_mb":32`, 1)
			if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
				b.Fatal(err)
			}
			began := time.Now()
			p := startCommand(b, exec.Command(path), file, "EDGE_CONFIG="+file)
			_, address, _ := strings.Cut(p.waitForLog(b, "msg=ready"), "listen=")
			ready := time.Since(began)
			idle := residentMiB(b, p.cmd.Process.Pid)
			sendRequests(b, address)
			b.ReportMetric(float64(ready.Microseconds())/1000, "start-ms")
			b.ReportMetric(idle, "idle-MB")
			b.ReportMetric(residentMiB(b, p.cmd.Process.Pid), "loaded-MB")
		})
	}
}

// residentMiB returns a process's resident memory in MiB.
func residentMiB(b *testing.B, pid int) float64 {
	b.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		b.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), "VmRSS:")
	kb := 0.0
	fmt.Sscan(rest, &kb)
	return kb / 1024
}
