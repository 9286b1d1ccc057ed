package peerproto

// LoadReport reports the load that proxies have in flight at servers, and the prefixes that they sent there.
type LoadReport struct {
	Full    bool         `avro:"whole"`   // nothing is in flight at servers that are absent from Servers
	Servers []ServerLoad `avro:"servers"` // servers whose load has changed, or all if Full
	// FullIndex says that Prefixes is the sender's complete prefix index, for a receiver that has none yet.
	FullIndex bool `avro:"known"`
	// Prefixes holds the prefixes that were sent to a server for the first time since the last report, or the
	// complete index if FullIndex.
	Prefixes []ServerPrefixes `avro:"prompts"`
}

// ServerLoad is the load that proxies have in flight at one server.
type ServerLoad struct {
	Server    string `avro:"server"`     // id of its incarnation
	PrefillMs int    `avro:"reading_ms"` // expected time of the prefills in flight, in milliseconds
	Calls     int    `avro:"calls"`      // number of calls in flight
}

// ServerPrefixes holds the hashes of the prompt prefixes that a server was sent to prefill.
type ServerPrefixes struct {
	Server string  `avro:"server"` // id of its incarnation
	Hashes []int64 `avro:"names"`
}
