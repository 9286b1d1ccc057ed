package agentsim

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"cresshub/internal/http1"
	"cresshub/internal/router/controlclient"
	"cresshub/internal/simulation/simnet"
	"cresshub/internal/testbed/routerstandin"
)

const (
	serviceName = "model"
	// baseTimeout is the timeout of the one route in ms, to which a change's variant is added.
	baseTimeout = 5000
	// An operator waits between two attempts to send a change, at first for minBackoff.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
)

// Change is a change of the configuration. Two changes to one version differ by their variants.
type Change struct {
	Base    int64 // the version that it builds on
	Version int64 // that it makes
	Variant int64
}

// document returns the configuration after a change.
func (f *Fleet) document(c Change) []byte {
	service := routerstandin.ServiceDoc{Name: serviceName, HealthPath: "/health", MaxConns: 100, Protocol: "h1"}
	if f.Options.Stages {
		service.Engine = &routerstandin.EngineSection{Slots: serverSlots, CacheTokens: 1 << 20, TokenBytes: 1024,
			LinkMbps: 1000, TokensPerEvent: 2, HandleTTL: 5, SwitchTime: stageSwitch.Seconds(),
			Models: []map[string]string{{"name": serviceName}}}
	}
	return f.encode(&routerstandin.Document{Version: c.Version, Services: []routerstandin.ServiceDoc{service},
		Routes: []routerstandin.RouteDoc{c.route()}})
}

// route returns the one route after a change.
func (c Change) route() routerstandin.RouteDoc {
	return routerstandin.RouteDoc{Name: "r", Host: "a.example", Prefix: "/", Class: "safe",
		TimeoutMs: baseTimeout + c.Variant, TargetMs: 500, Service: serviceName, MaxAttempts: 2}
}

// isPatch reports whether a change is sent as a patch: every second one, so that both kinds meet on one base.
func (c Change) isPatch() bool { return c.Base > 0 && (c.Version+c.Variant)%2 == 0 }

// patchDocument is a patch as an operator sends it.
type patchDocument struct {
	Version int64 `json:"edition"`
	Deliver struct {
		Routes []routerstandin.RouteDoc `json:"routes"`
	} `json:"deliver"`
}

// call returns the operator's call for a change.
func (f *Fleet) call(c Change) controlclient.Call {
	header := http1.Header{{Name: "If-Match", Value: strconv.FormatInt(c.Base, 10)},
		{Name: "Content-Type", Value: "application/json"}}
	call := controlclient.Call{Method: "PUT", Target: "/api/config", Header: header}
	if !c.isPatch() {
		call.Body = f.document(c)
		return call
	}
	patch := &patchDocument{Version: c.Version}
	patch.Deliver.Routes = []routerstandin.RouteDoc{c.route()}
	call.Method, call.Body = "PATCH", f.encode(patch)
	return call
}

// encode returns a document as JSON.
func (f *Fleet) encode(document any) []byte {
	body, err := json.Marshal(document)
	if err != nil {
		f.TB.Error(err)
	}
	return body
}

// variantOf returns the version and the variant of the change that a document results from.
func variantOf(body []byte) (version, variant int64, err error) {
	var d routerstandin.Document
	if err := json.Unmarshal(body, &d); err != nil {
		return 0, 0, err
	}
	return d.Version, d.Routes[0].TimeoutMs - baseTimeout, nil
}

// Operator is a simulated operator. Its methods may be called by several goroutines.
type Operator struct {
	IP      string
	fleet   *Fleet
	network *simnet.Process
	history *History

	mu     sync.Mutex
	random *rand.Rand // guarded by mu
}

// AddOperator adds an operator that records its calls in a history.
func (f *Fleet) AddOperator(history *History) *Operator {
	history.operators++
	ip := fmt.Sprintf("10.2.0.%d", history.operators)
	return &Operator{IP: ip, fleet: f, network: f.Network.Host(ip).NewProcess(), history: history,
		random: rand.New(rand.NewSource(f.Random.Int63()))}
}

// Put sends a change to one machine, once, and returns the status, 0 for none.
func (o *Operator) Put(m *Machine, c Change) int {
	call := o.history.beginPut(o.fleet.Now(), m.Name, c)
	answer, err := callFrom(o.network, m.Control(), o.fleet.call(c))
	status := 0
	if err == nil {
		status = answer.Status
	}
	o.history.endPut(call, o.fleet.Now(), status)
	o.fleet.Logf("operator %s: change %+v at %s: %d", o.IP, c, m.Name, status)
	return status
}

// PutUntil sends a change to one machine after the other until one answers 200 or 412, which it returns, or a
// duration has passed, in which case it returns 0. Each answer is lost with a probability; the change is then
// sent again.
func (o *Operator) PutUntil(machines []*Machine, c Change, within time.Duration, loss float64) int {
	deadline := o.fleet.Now() + within
	backoff := minBackoff
	for o.fleet.Now() < deadline {
		for _, m := range o.shuffled(machines) {
			status := o.Put(m, c)
			if (status == http.StatusOK || status == http.StatusPreconditionFailed) && !o.chance(loss) {
				return status
			}
			time.Sleep(backoff)
			backoff = min(backoff*2, maxBackoff)
			if o.fleet.Now() >= deadline {
				return 0
			}
		}
	}
	return 0
}

// Get reads the configuration at a machine once.
func (o *Operator) Get(m *Machine) (version int64, status int) {
	call := o.history.beginGet(o.fleet.Now(), m.Name)
	answer, err := callFrom(o.network, m.Control(), controlclient.Call{Method: "GET", Target: "/api/config"})
	if err != nil || answer.Status != http.StatusOK {
		if err == nil {
			status = answer.Status
		}
		o.history.endGet(call, o.fleet.Now(), status, 0, 0)
		return 0, status
	}
	version, variant, err := variantOf(answer.Body)
	if err != nil {
		o.fleet.TB.Error(err)
	}
	o.history.endGet(call, o.fleet.Now(), http.StatusOK, version, variant)
	return version, http.StatusOK
}

// shuffled returns machines in a random order.
func (o *Operator) shuffled(machines []*Machine) []*Machine {
	shuffled := slices.Clone(machines)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	return shuffled
}

// chance draws whether something of a probability happens.
func (o *Operator) chance(p float64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.random.Float64() < p
}
