package agent

import (
	"net"
	"runtime"
	"strconv"

	"cresshub/internal/http1"
	"cresshub/internal/invariant"
	"cresshub/internal/metrics"
	"cresshub/internal/router/controlserver"
	"cresshub/internal/router/directory"
)

// metricsPath is the endpoint of the metrics, at the control address and at the port for metrics.
const metricsPath = "/metrics"

// metricsEndpoint shows the metrics of the process. It has no state of its own and is safe for concurrent
// use.
type metricsEndpoint struct{ agent *Agent }

// serve serves the metrics at the port for metrics, where one is configured, and returns a function that ends
// that. Without the port, the metrics are still served at the control address.
func (e *metricsEndpoint) serve() (end func()) {
	a := e.agent
	if a.metricsPort == 0 {
		return func() {}
	}
	listener, err := a.network.Listen(net.JoinHostPort(a.settings.IP, strconv.Itoa(a.metricsPort)))
	if err != nil {
		a.log.Warn().Err(err).Msg("metrics: listening failed; call /metrics at the control address")
		return func() {}
	}
	go a.serveCalls(listener, e.show, 0)
	return func() { listener.Close() }
}

// show handles a call for the metrics.
func (e *metricsEndpoint) show(call *controlserver.Call) *http1.Response {
	if call.Path != metricsPath {
		return controlserver.Text(404, "call "+metricsPath)
	}
	if call.Method != "GET" {
		return controlserver.Text(405, "use GET to read the figures")
	}
	page := &metrics.Page{}
	e.write(page)
	header := http1.Header{{Name: "Content-Type", Value: metrics.ContentType}}
	return &http1.Response{Status: 200, Header: header, Body: page.Text()}
}

// write writes the metrics of the control side and, where there is one, of the data plane.
func (e *metricsEndpoint) write(page *metrics.Page) {
	for _, count := range invariant.Counts() {
		page.Counter("cresshub_invariant_violations_total", "Promises that the process saw broken.",
			count.Violations, metrics.Label{Name: "check", Value: count.Check.String()})
	}
	e.writeState(page)
	e.writeCounts(page)
	e.writeProcess(page)
	if proxy := e.agent.proxy; proxy != nil {
		proxy.WriteMetrics(page)
	}
}

func (e *metricsEndpoint) writeState(page *metrics.Page) {
	a := e.agent
	view := a.state.currentView()
	page.Flag("cresshub_ready", "Whether the platform should send clients here.", a.unready() == "")
	page.Gauge("cresshub_config_version", "Version of the configuration in force, 0 for none.",
		float64(a.state.version()))
	page.Gauge("cresshub_view_epoch", "Epoch of the view of the control state, 0 for none.", float64(view.epoch))
	page.Gauge("cresshub_view_members", "Members of that view.", float64(len(view.members)))
	page.Flag("cresshub_replica", "Whether this process is a replica of the control state.",
		a.configStore.isMember())
	page.Flag("cresshub_majority_reached", "Whether a majority of the members is reached.",
		a.quorum.reachesMajority())
	servers := map[directory.State]int{}
	proxies := 0
	a.state.read(func(d *directory.Directory) {
		for _, record := range recordsOf(d, directory.KindServer) {
			servers[record.State]++
		}
		proxies = len(d.Proxies())
	})
	for state := directory.Ready; state <= directory.Ended; state++ {
		page.Gauge("cresshub_servers", "Servers that this process knows.", float64(servers[state]),
			metrics.Label{Name: "state", Value: stateNames[state]})
	}
	page.Gauge("cresshub_proxies", "Proxies that this process takes to be live.", float64(proxies))
}

func (e *metricsEndpoint) writeCounts(page *metrics.Page) {
	m := &e.agent.metrics
	page.Family("cresshub_heartbeats_total", "Calls of servers, by answer.", &m.heartbeats)
	page.Family("cresshub_config_calls_total", "Calls on the configuration, by outcome.", &m.configCalls)
	page.Family("cresshub_marked_lost_total", "Processes that this one marked lost.", &m.lostProcesses)
	page.Family("cresshub_stage_orders_total", "Orders sent to model servers, by status; 0 for none.", &m.orders)
	page.Counter("cresshub_feeds_followed_total", "Hubs that were chosen to be followed.",
		m.sourceChanges.Value())
	page.Counter("cresshub_stood_still_total", "Pauses in which this process did not run.", m.stalls.Value())
	page.Counter("cresshub_disk_errors_total", "Steps of the control state that the disk refused.",
		m.diskErrors.Value())
	page.Counter("cresshub_disk_openings_failed_total", "Tries to open the disk that failed.",
		m.failedDiskOpens.Value())
	page.Counter("cresshub_chain_events_dropped_total", "Events that found the queue of the chain full.",
		m.droppedEvents.Value())
	page.Counter("cresshub_reload_errors_total", "Changed settings that could not be read.",
		m.reloadErrors.Value())
	page.Counter("cresshub_accept_errors_total", "Connections that could not be accepted, but for clients'.",
		m.acceptErrors.Value())
	page.Counter("cresshub_call_mistakes_total", "Mistakes of the program that calls brought out.",
		m.handlerPanics.Value())
	page.Histogram("cresshub_disk_write_duration_seconds", "Writes of the control state, synced.", &m.diskWrites)
	traffic := e.agent.endpoint.Traffic()
	for kind, volume := range traffic.Sent {
		if volume.Frames > 0 {
			page.Counter("cresshub_peer_sent_bytes_total", "Bytes sent to other processes.", volume.Bytes,
				metrics.Label{Name: "kind", Value: strconv.Itoa(kind)})
		}
	}
}

func (e *metricsEndpoint) writeProcess(page *metrics.Page) {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	page.Gauge("cresshub_uptime_seconds", "Time since the start.", e.agent.now().Seconds())
	page.Gauge("cresshub_goroutines", "Goroutines.", float64(runtime.NumGoroutine()))
	page.Gauge("cresshub_heap_bytes", "Memory of live and unswept objects.", float64(memory.HeapAlloc))
	page.Gauge("cresshub_runtime_bytes", "Memory that the runtime has from the system.", float64(memory.Sys))
}
