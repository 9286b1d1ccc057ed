package fleetconfig

import "time"

// Service is a group of servers that answer the same requests. The servers are not part of the configuration:
// they register themselves.
type Service struct {
	// Name ("name") is what routes refer to. Required and unique.
	Name string

	// HealthPath ("health_path") is the target of the GET request that checks whether a server still answers.
	HealthPath string

	// MaxConnections ("line_cap") bounds the connections of all proxies together to one server; each proxy
	// uses its fraction. Defaults to 0, which sets no bound.
	MaxConnections int

	// Engine ("engine") is set for services of model servers, which prefill and decode separately; nil for all
	// others.
	Engine *Engine
}

// Engine describes the model servers of a service, all of which are alike.
type Engine struct {
	// Slots ("bays") is the number of requests that a server runs concurrently. Defaults to 1.
	Slots int

	// KVCacheTokens ("kv_tokens") is the capacity of a server's KV cache in tokens. Defaults to 0. It is
	// validated but has no effect: a server evicts entries by itself, and rejects a request that is larger
	// than its cache in the same way as when it is full.
	KVCacheTokens int

	// KVBytesPerToken ("kv_bytes") is the size of a token in the KV cache, in bytes. With LinkMbps it gives the
	// time to transfer a prefix between two servers. Defaults to 0.
	KVBytesPerToken float64

	// LinkMbps ("link_mbps") is the bandwidth of such a transfer, in megabits per second. Defaults to 0, with
	// which a transfer is assumed to take no time.
	LinkMbps float64

	// MaxTokensPerEvent ("stride") is the maximum number of tokens in an event of a stream. If it is at most 1,
	// the default, event ids are consecutive, and a missing event is detected.
	MaxTokensPerEvent int

	// HandleTTL ("claim_s") is how long the handle of a prefilled prompt is valid. Defaults to 0, with which
	// handles don't expire.
	HandleTTL time.Duration

	// RoleSwitchTime ("switch_s") is how long a server needs to change between prefill and decode. Defaults to
	// 0. An order to change roles expires if it is still pending that long after the requests that the server
	// was running have had time to end. Apart from that, the role planner relies on what servers report.
	RoleSwitchTime time.Duration

	// Models ("models", by "name") lists the models that the servers offer. They are validated but have no
	// effect: a request goes to the service of its route, and a server that lacks its model rejects it.
	Models []string
}
