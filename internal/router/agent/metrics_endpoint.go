package agent

import (
	"runtime"

	"cresshub/internal/http1"
	"cresshub/internal/invariant"
	"cresshub/internal/metrics"
	"cresshub/internal/router/controlserver"
	"cresshub/internal/router/dataplane"
	"cresshub/internal/router/directory"
	"cresshub/internal/router/peerproto"
	"cresshub/internal/router/transport"
)

// metricsPath is the endpoint of the metrics, at the control address and at the port for metrics.
const metricsPath = "/metrics"

// metricsEndpoint serves the metrics of the process. It has no state of its own and is safe for concurrent
// use.
type metricsEndpoint struct {
	*process
	state       *state
	quorum      *quorum
	configStore configStore
	endpoint    *transport.Endpoint
	proxy       *dataplane.Proxy // nil if the role does not serve clients
}

// handle handles a call for the metrics.
func (e *metricsEndpoint) handle(call *controlserver.Call) *http1.Response {
	if call.Path != metricsPath {
		return controlserver.Text(http1.StatusNotFound, "call "+metricsPath)
	}
	if call.Method != "GET" {
		return controlserver.Text(http1.StatusMethodNotAllowed, "use GET to read the figures")
	}
	page := &metrics.Page{}
	e.write(page)
	header := http1.Header{{Name: "Content-Type", Value: metrics.ContentType}}
	return &http1.Response{Status: http1.StatusOK, Header: header, Body: page.Text()}
}

// write writes the metrics of the control side and of the data plane, if there is one.
func (e *metricsEndpoint) write(page *metrics.Page) {
	for _, count := range invariant.Counts() {
		page.Counter("cresshub_invariant_violations_total", "Invariant violations seen by this process.",
			count.Violations, metrics.Label{Name: "check", Value: count.Check.String()})
	}
	e.writeState(page)
	e.writeCounters(page)
	e.writeProcess(page)
	if e.proxy != nil {
		e.proxy.WriteMetrics(page)
	}
}

func (e *metricsEndpoint) writeState(page *metrics.Page) {
	view := e.state.currentView()
	page.Flag("cresshub_ready", "Whether the readiness check succeeds.", unreadyReason(e.process, e.state) == "")
	page.Gauge("cresshub_config_version", "Version of the configuration in force, 0 for none.",
		float64(e.state.version()))
	page.Gauge("cresshub_view_epoch", "Epoch of the chain's view, 0 for none.", float64(view.epoch))
	page.Gauge("cresshub_view_members", "Members of the chain's view.", float64(len(view.members)))
	page.Flag("cresshub_replica", "Whether this process is a replica of the chain.",
		e.configStore.isMember())
	page.Flag("cresshub_majority_reached", "Whether this process reaches a majority of the view's members.",
		e.quorum.reachesMajority())
	servers := map[directory.State]int{}
	proxies := 0
	e.state.read(func(d *directory.Directory) {
		for _, record := range recordsOf(d, directory.KindServer) {
			servers[record.State]++
		}
		proxies = len(d.Proxies())
	})
	for state := directory.Ready; state <= directory.Ended; state++ {
		page.Gauge("cresshub_servers", "Servers in this process's directory, by state.", float64(servers[state]),
			metrics.Label{Name: "state", Value: stateNames[state]})
	}
	page.Gauge("cresshub_proxies", "Router processes that this process considers live.", float64(proxies))
}

func (e *metricsEndpoint) writeCounters(page *metrics.Page) {
	m := &e.metrics
	page.Family("cresshub_heartbeats_total", "Heartbeats received from servers, by answer.", &m.heartbeats)
	page.Family("cresshub_config_calls_total", "Configuration calls, by call and outcome.", &m.configCalls)
	page.Family("cresshub_marked_lost_total", "Records that this process marked lost, by kind and reason.",
		&m.recordsMarkedLost)
	page.Family("cresshub_stage_orders_total",
		"Role orders sent to servers, by response status; 0 for no response.", &m.orders)
	page.Counter("cresshub_feeds_followed_total", "Subscriptions to the feed of a hub.",
		m.feedSubscriptions.Value())
	page.Counter("cresshub_stood_still_total", "Stalls of this process: intervals in which it did not run.",
		m.stalls.Value())
	page.Counter("cresshub_stalled_milliseconds_total", "Time in which this process did not run.",
		m.stalledMs.Value())
	page.Counter("cresshub_disk_errors_total", "Steps of the chain that could not be persisted.",
		m.chainPersistErrors.Value())
	page.Counter("cresshub_disk_openings_failed_total", "Failed attempts to open the chain's store.",
		m.failedDiskOpens.Value())
	page.Counter("cresshub_chain_events_dropped_total", "Events dropped because the chain's queue was full.",
		m.droppedChainEvents.Value())
	page.Counter("cresshub_reload_errors_total", "Failed reloads of the settings file.",
		m.reloadErrors.Value())
	page.Counter("cresshub_accept_errors_total",
		"Failed accepts at the addresses other than the one for clients.", m.acceptErrors.Value())
	page.Counter("cresshub_call_mistakes_total", "Panics of handlers, each recovered.",
		m.handlerPanics.Value())
	page.Histogram("cresshub_disk_write_duration_seconds", "Time to write and sync a step of the chain.",
		&m.diskWriteTimes)
	traffic := e.endpoint.Traffic()
	for kind, volume := range traffic.Sent {
		if volume.Frames > 0 {
			page.Counter("cresshub_peer_sent_bytes_total", "Bytes sent to other router processes.", volume.Bytes,
				metrics.Label{Name: "kind", Value: peerproto.Kind(kind).String()})
		}
	}
	page.Counter("cresshub_peer_frames_too_long_total", "Frames that were too long to be sent.",
		traffic.TooLong)
}

func (e *metricsEndpoint) writeProcess(page *metrics.Page) {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	page.Gauge("cresshub_uptime_seconds", "Time since the process started.", e.now().Seconds())
	page.Gauge("cresshub_goroutines", "Goroutines.", float64(runtime.NumGoroutine()))
	page.Gauge("cresshub_heap_bytes", "Heap memory of live and unswept objects.", float64(memory.HeapAlloc))
	page.Gauge("cresshub_runtime_bytes", "Memory that the Go runtime obtained from the system.",
		float64(memory.Sys))
}
