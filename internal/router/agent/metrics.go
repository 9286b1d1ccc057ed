package agent

import (
	"strconv"
	"sync/atomic"

	"cresshub/internal/metrics"
	"cresshub/internal/router/directory"
	"cresshub/internal/router/peerproto"
)

// agentMetrics are the metrics of the control side; those of the data plane are its own. They are safe for
// concurrent use and take no lock of the agent, so that they may be counted with any lock held.
type agentMetrics struct {
	heartbeats        metrics.CounterFamily // by answer
	configCalls       metrics.CounterFamily // by call and outcome
	lostProcesses     metrics.CounterFamily // processes marked lost here, by kind and reason
	orders            metrics.CounterFamily // to model servers, by status
	feedSubscriptions metrics.Counter       // of the hub that is followed
	stalls            metrics.Counter       // of this process
	stalledTime       metrics.Counter       // of all of them, in milliseconds
	diskErrors        metrics.Counter       // steps of the chain that could not be persisted
	failedDiskOpens   metrics.Counter
	droppedEvents     metrics.Counter // of the chain
	reloadErrors      metrics.Counter // of the settings file
	acceptErrors      metrics.Counter
	handlerPanics     metrics.Counter
	diskWrites        metrics.Histogram // time of synced writes of the chain
	lastOrderFence    atomic.Uint64     // fencing token of the last order, for its invariant
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
	peerproto.OutcomeAccepted: "accepted", peerproto.OutcomeConflict: "conflict",
	peerproto.OutcomeUnavailable: "unknown",
	peerproto.OutcomeInvalid:     "invalid",
}

func (m *agentMetrics) countConfigCall(call string, result *peerproto.Result) {
	m.configCalls.With(metrics.Label{Name: "call", Value: call},
		metrics.Label{Name: "outcome", Value: outcomeLabels[result.Outcome]}).Add(1)
}
