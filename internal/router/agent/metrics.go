package agent

import (
	"net"
	"runtime"
	"strconv"
	"sync/atomic"

	"cresshub/internal/http1"
	"cresshub/internal/invariant"
	"cresshub/internal/metrics"
	"cresshub/internal/router/controlserver"
	"cresshub/internal/router/directory"
	"cresshub/internal/router/peerproto"
)

// metricsPath is the endpoint of the metrics, at the control address and at the port for metrics.
const metricsPath = "/metrics"

// agentMetrics are the metrics of the control side; those of the data plane are its own.
type agentMetrics struct {
	heartbeats      metrics.CounterFamily // by answer
	configCalls     metrics.CounterFamily // by call and outcome
	lostProcesses   metrics.CounterFamily // processes marked lost here, by kind and reason
	orders          metrics.CounterFamily // to model servers, by status
	sourceChanges   metrics.Counter       // of the hub that is followed
	stalls          metrics.Counter       // of this process
	diskErrors      metrics.Counter       // steps of the chain that could not be persisted
	failedDiskOpens metrics.Counter
	droppedEvents   metrics.Counter // of the chain
	reloadErrors    metrics.Counter // of the settings file
	acceptErrors    metrics.Counter
	handlerPanics   metrics.Counter
	diskWrites      metrics.Histogram // time of synced writes of the chain
	lastOrderFence  atomic.Uint64     // fencing token of the last order, for its invariant
}

func (m *agentMetrics) countHeartbeat(answer string) {
	m.heartbeats.With(metrics.Label{Name: "answer", Value: answer}).Add(1)
}

func (m *agentMetrics) countLost(record *directory.Record, reason string) {
	m.lostProcesses.With(metrics.Label{Name: "kind", Value: kindNames[record.Kind]},
		metrics.Label{Name: "reason", Value: reason}).Add(1)
}

func (m *agentMetrics) countOrder(status int) {
	m.orders.With(metrics.Label{Name: "status", Value: strconv.Itoa(status)}).Add(1)
}

var kindNames = map[directory.Kind]string{
	directory.KindServer: "server", directory.KindProxy: "proxy", directory.KindOrder: "order",
}

var outcomeLabels = map[peerproto.Outcome]string{
	peerproto.OutcomeAccepted: "taken", peerproto.OutcomeConflict: "refused",
	peerproto.OutcomeUnavailable: "unclear",
	peerproto.OutcomeInvalid:     "invalid",
}

func (m *agentMetrics) countConfigCall(call string, result *peerproto.Result) {
	m.configCalls.With(metrics.Label{Name: "call", Value: call},
		metrics.Label{Name: "outcome", Value: outcomeLabels[result.Outcome]}).Add(1)
}

// acceptFailed records that a connection of another process, a server or an operator could not be accepted.
// The listener retries.
func (a *Agent) acceptFailed(err error) {
	a.metrics.acceptErrors.Add(1)
	a.acceptLog.Warn().Err(err).Msg("agent: accepting a connection failed; retrying")
}

// handlerPanicked records that the handler of a call panicked. A violated invariant panics in tests only, and
// ends them.
func (a *Agent) handlerPanicked(err *controlserver.PanicError) {
	if violation, ok := err.Value.(*invariant.ViolationError); ok {
		panic(violation)
	}
	a.metrics.handlerPanics.Add(1)
	a.log.Error().Err(err).Bytes("stack", err.Stack).Msg("agent: handler panicked")
}

// serveMetrics serves the metrics at the port for metrics, where one is configured, and returns a function
// that ends that. Without the port, the metrics are still served at the control address.
func (a *Agent) serveMetrics() (end func()) {
	if a.metricsPort == 0 {
		return func() {}
	}
	listener, err := a.network.Listen(net.JoinHostPort(a.settings.IP, strconv.Itoa(a.metricsPort)))
	if err != nil {
		a.log.Warn().Err(err).Msg("metrics: listening failed; call /metrics at the control address")
		return func() {}
	}
	go a.serveCalls(listener, a.showMetrics, 0)
	return func() { listener.Close() }
}

// showMetrics handles a call for the metrics.
func (a *Agent) showMetrics(call *controlserver.Call) *http1.Response {
	if call.Path != metricsPath {
		return controlserver.Text(404, "call "+metricsPath)
	}
	if call.Method != "GET" {
		return controlserver.Text(405, "use GET to read the figures")
	}
	page := &metrics.Page{}
	a.WriteMetrics(page)
	header := http1.Header{{Name: "Content-Type", Value: metrics.ContentType}}
	return &http1.Response{Status: 200, Header: header, Body: page.Text()}
}

// WriteMetrics writes the metrics of the control side and, where there is one, of the data plane. It is safe
// for concurrent use.
func (a *Agent) WriteMetrics(page *metrics.Page) {
	for _, count := range invariant.Counts() {
		page.Counter("cresshub_invariant_violations_total", "Promises that the process saw broken.",
			count.Violations, metrics.Label{Name: "check", Value: count.Check.String()})
	}
	a.writeState(page)
	a.writeCounts(page)
	a.writeProcess(page)
	if a.proxy != nil {
		a.proxy.WriteMetrics(page)
	}
}

func (a *Agent) writeState(page *metrics.Page) {
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

func (a *Agent) writeCounts(page *metrics.Page) {
	f := &a.metrics
	page.Family("cresshub_heartbeats_total", "Calls of servers, by answer.", &f.heartbeats)
	page.Family("cresshub_config_calls_total", "Calls on the configuration, by outcome.", &f.configCalls)
	page.Family("cresshub_marked_lost_total", "Processes that this one marked lost.", &f.lostProcesses)
	page.Family("cresshub_stage_orders_total", "Orders sent to model servers, by status; 0 for none.", &f.orders)
	page.Counter("cresshub_feeds_followed_total", "Hubs that were chosen to be followed.",
		f.sourceChanges.Value())
	page.Counter("cresshub_stood_still_total", "Pauses in which this process did not run.", f.stalls.Value())
	page.Counter("cresshub_disk_errors_total", "Steps of the control state that the disk refused.",
		f.diskErrors.Value())
	page.Counter("cresshub_disk_openings_failed_total", "Tries to open the disk that failed.",
		f.failedDiskOpens.Value())
	page.Counter("cresshub_chain_events_dropped_total", "Events that found the queue of the chain full.",
		f.droppedEvents.Value())
	page.Counter("cresshub_reload_errors_total", "Changed settings that could not be read.",
		f.reloadErrors.Value())
	page.Counter("cresshub_accept_errors_total", "Connections that could not be accepted, but for clients'.",
		f.acceptErrors.Value())
	page.Counter("cresshub_call_mistakes_total", "Mistakes of the program that calls brought out.",
		f.handlerPanics.Value())
	page.Histogram("cresshub_disk_write_duration_seconds", "Writes of the control state, synced.", &f.diskWrites)
	traffic := a.endpoint.Traffic()
	for kind, volume := range traffic.Sent {
		if volume.Frames > 0 {
			page.Counter("cresshub_peer_sent_bytes_total", "Bytes sent to other processes.", volume.Bytes,
				metrics.Label{Name: "kind", Value: strconv.Itoa(kind)})
		}
	}
}

func (a *Agent) writeProcess(page *metrics.Page) {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	page.Gauge("cresshub_uptime_seconds", "Time since the start.", a.now().Seconds())
	page.Gauge("cresshub_goroutines", "Goroutines.", float64(runtime.NumGoroutine()))
	page.Gauge("cresshub_heap_bytes", "Memory of live and unswept objects.", float64(memory.HeapAlloc))
	page.Gauge("cresshub_runtime_bytes", "Memory that the runtime has from the system.", float64(memory.Sys))
}
