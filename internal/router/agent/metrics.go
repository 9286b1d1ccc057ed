package agent

import (
	"strconv"
	"sync/atomic"

	"cresshub/internal/metrics"
	"cresshub/internal/router/directory"
	"cresshub/internal/router/peerproto"
)

// agentMetrics are the metrics of the control side; the data plane has metrics of its own. They are safe for
// concurrent use and take no lock of the agent, so they may be updated while any lock is held.
type agentMetrics struct {
	heartbeats         metrics.CounterFamily // received from servers, by answer
	configCalls        metrics.CounterFamily // by call and outcome
	recordsMarkedLost  metrics.CounterFamily // by this process, by kind and reason
	orders             metrics.CounterFamily // role orders to model servers, by status of the response
	feedSubscriptions  metrics.Counter       // to the feed of a hub
	stalls             metrics.Counter       // of this process
	stalledMs          metrics.Counter       // total time of the stalls, in milliseconds
	chainPersistErrors metrics.Counter       // steps of the chain that could not be persisted
	failedDiskOpens    metrics.Counter
	droppedChainEvents metrics.Counter // events that found the queue of the chain goroutine full
	reloadErrors       metrics.Counter // of the settings file
	acceptErrors       metrics.Counter
	handlerPanics      metrics.Counter
	diskWriteTimes     metrics.Histogram // durations of synced writes of the chain
	lastOrderFence     atomic.Uint64     // not a metric: token of the last order, for invariant.FenceRises
}

func (m *agentMetrics) countHeartbeat(answer string) {
	m.heartbeats.With(metrics.Label{Name: "answer", Value: answer}).Add(1)
}

func (m *agentMetrics) countLost(record *directory.Record, reason string) {
	m.recordsMarkedLost.With(metrics.Label{Name: "kind", Value: kindNames[record.Kind]},
		metrics.Label{Name: "reason", Value: reason}).Add(1)
}

func (m *agentMetrics) countOrder(status int) {
	m.orders.With(metrics.Label{Name: "status", Value: strconv.Itoa(status)}).Add(1)
}

var kindNames = map[directory.Kind]string{
	directory.KindServer: "server", directory.KindProxy: "proxy", directory.KindOrder: "order",
}

var outcomeLabels = map[peerproto.Outcome]string{
	peerproto.OutcomeAccepted: "accepted", peerproto.OutcomeConflict: "conflict",
	peerproto.OutcomeUnavailable: "unknown",
	peerproto.OutcomeInvalid:     "invalid",
}

func (m *agentMetrics) countConfigCall(call string, result *peerproto.Result) {
	m.configCalls.With(metrics.Label{Name: "call", Value: call},
		metrics.Label{Name: "outcome", Value: outcomeLabels[result.Outcome]}).Add(1)
}
