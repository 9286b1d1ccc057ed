package fleetconfig

import "time"

// Service is a group of servers that answer the same requests. Which servers there are is not configured:
// they register themselves.
type Service struct {
	// Name ("name") is what routes refer to. Required and unique.
	Name string

	// HealthPath ("health_path") is the target of the GET request that checks whether a server still answers.
	HealthPath string

	// MaxConnections ("line_cap") bounds the connections to one server, of all proxies together: each uses its
	// fraction. Defaults to 0, which sets no bound.
	MaxConnections int

	// Engine ("engine") is set for services of model servers, which prefill and decode separately; nil for all
	// others.
	Engine *Engine
}

// Engine describes the model servers of a service, all of which are alike.
type Engine struct {
	// Slots ("bays") is how many requests a server runs at once. Defaults to 1.
	Slots int

	// KVCacheTokens ("kv_tokens") is the capacity of a server's KV cache in tokens. Defaults to 0. It is
	// validated only: a server rejects a request that is larger, as though it were full, and evicts by itself.
	KVCacheTokens int

	// KVBytesPerToken ("kv_bytes") is the size of a token in the KV cache, in bytes. With LinkMbps it gives the
	// time to transfer a prefix between two servers. Defaults to 0.
	KVBytesPerToken float64

	// LinkMbps ("link_mbps") is the bandwidth of such a transfer, in megabits a second. Defaults to 0, with
	// which a transfer is taken to cost no time.
	LinkMbps float64

	// MaxTokensPerEvent ("stride") is how many tokens an event of a stream carries at most. Up to 1, the
	// default, event ids count up without gaps, and a missing event is detected.
	MaxTokensPerEvent int

	// HandleTTL ("claim_s") is how long the handle of a prefilled prompt can be redeemed. Defaults to 0, with
	// which handles don't expire.
	HandleTTL time.Duration

	// RoleSwitchTime ("switch_s") is how long a server needs to change between prefill and decode. Defaults to
	// 0. An order is given up when it has been under way for that long after what the server ran can have ended;
	// otherwise the role planner follows what servers report.
	RoleSwitchTime time.Duration

	// Models ("models", by "name") are the models that the servers offer. They are validated only: a request
	// goes to the service of its route, and a server that lacks its model rejects it.
	Models []string
}
