package peerproto

// LoadReport is what proxies have in flight at servers, and the prefixes that they sent there.
type LoadReport struct {
	Full    bool         `avro:"whole"`   // nothing is in flight at servers that are not in Servers
	Servers []ServerLoad `avro:"servers"` // those where it has changed, or all if Full
	// FullIndex says that Prefixes is the sender's complete prefix index, for a receiver that has none yet.
	FullIndex bool `avro:"known"`
	// Prefixes are those that were sent to a server for the first time since the last report, or the index.
	Prefixes []ServerPrefixes `avro:"prompts"`
}

// ServerLoad is what proxies have in flight at one server.
type ServerLoad struct {
	Server    string `avro:"server"`     // id of its incarnation
	PrefillMs int    `avro:"reading_ms"` // expected time of the prefills, in milliseconds
	Calls     int    `avro:"calls"`
}

// ServerPrefixes are hashes of prefixes of prompts whose prefill a server was sent.
type ServerPrefixes struct {
	Server string  `avro:"server"` // id of its incarnation
	Hashes []int64 `avro:"names"`
}
