package routerstandin

import (
	"encoding/json"
	"fmt"
	"time"
)

// Document is a configuration as an operator sends it. The stand-in writes it from the operators' pages on
// its own, so that the router's reading of it (package fleetconfig) is checked and not repeated.
type Document struct {
	Version  int64          `json:"edition"`
	Routes   []RouteDoc     `json:"routes"`
	Services []ServiceDoc   `json:"depots_list"`
	Limits   *LimitsSection `json:"size_limits,omitempty"`
}

// RouteDoc is a route of a Document.
type RouteDoc struct {
	Name        string      `json:"name"`
	Host        string      `json:"town"`
	Prefix      string      `json:"street_prefix"`
	Class       string      `json:"mail_class"`
	TimeoutMs   int64       `json:"timeout_ms"`
	TargetMs    int64       `json:"target_ms"`
	Priority    int         `json:"priority"`
	Service     string      `json:"depot,omitempty"`
	Split       []TargetDoc `json:"apportion,omitempty"`
	MaxAttempts int         `json:"delivery_tries"`
	Sticky      bool        `json:"same_courier"`
	Resumable   bool        `json:"redeliver"`
	GapMs       int64       `json:"gap_aim_ms,omitempty"`
}

// TargetDoc is a service's weight in a route.
type TargetDoc struct {
	Service string  `json:"depot"`
	Weight  float64 `json:"share"`
}

// ServiceDoc is a service of a Document.
type ServiceDoc struct {
	Name       string         `json:"name"`
	HealthPath string         `json:"health_path"`
	MaxConns   int            `json:"line_cap"`
	Protocol   string         `json:"protocol"`
	Sealed     bool           `json:"sealed"`
	Engine     *EngineSection `json:"engine,omitempty"`
}

// EngineSection describes the model servers of a service.
type EngineSection struct {
	Slots          int                 `json:"bays"`
	CacheTokens    int                 `json:"kv_tokens"`
	TokenBytes     float64             `json:"kv_bytes"`
	LinkMbps       float64             `json:"link_mbps"`
	TokensPerEvent int                 `json:"stride"`
	HandleTTL      float64             `json:"claim_s"`
	SwitchTime     float64             `json:"switch_s"`
	Models         []map[string]string `json:"models"`
}

// LimitsSection bounds what clients send.
type LimitsSection struct {
	HeaderBytes int `json:"envelope_bytes"`
	BodyBytes   int `json:"contents_bytes"`
	HeaderMs    int `json:"envelope_ms"`
	IdleMs      int `json:"idle_ms"`
}

// RouteOf returns the route of a kind of requests to a service, with a number of attempts.
func RouteOf(kind *Kind, service string, maxAttempts int) RouteDoc {
	return RouteDoc{
		Name: kind.Name, Host: kind.Host, Prefix: kind.Prefix, Class: string(kind.Class),
		TimeoutMs: kind.Deadline.Milliseconds(), TargetMs: kind.LatencyTarget.Milliseconds(), Service: service,
		MaxAttempts: maxAttempts,
		Sticky:      kind.isStream(), Resumable: kind.Resumable, GapMs: kind.GapTarget.Milliseconds(),
	}
}

// EngineOf returns the section that describes such model servers.
func EngineOf(e *Engine, slots int) *EngineSection {
	return &EngineSection{
		Slots: slots, CacheTokens: e.CacheTokens, TokenBytes: 18432, LinkMbps: 150000,
		TokensPerEvent: e.TokensPerEvent,
		HandleTTL:      e.HandleTTL.Seconds(), SwitchTime: e.SwitchTime.Seconds(),
		Models: []map[string]string{{"name": ModelName}},
	}
}

// Clone returns a copy that can be changed.
func (d *Document) Clone() *Document {
	clone := *d
	clone.Routes = append([]RouteDoc(nil), d.Routes...)
	clone.Services = append([]ServiceDoc(nil), d.Services...)
	return &clone
}

// encode lays a document or a patch out as it is sent.
func encode(version int64, document any) ([]byte, error) {
	raw, err := json.Marshal(document)
	if err != nil {
		return nil, fmt.Errorf("version %d can't be written as JSON: %w; check its numbers", version, err)
	}
	return raw, nil
}

// callTimeout is how long an operator waits for one answer.
func (d *Document) callTimeout() time.Duration {
	return operatorTimeout + time.Duration(len(d.Routes))*orderMargin
}
