package peerproto

// Hello identifies the process that opened a connection.
type Hello struct {
	ID string `avro:"id"` // of the caller's record in the directory
}

// Status is the state of a process. It is sent in each answer to a ping and in announcements.
type Status struct {
	ID          string       `avro:"id"`             // of its record in the directory
	Version     int64        `avro:"version"`        // of the configuration in force at the process
	Epoch       int64        `avro:"epoch"`          // of the latest view that the process knows
	Members     []MemberInfo `avro:"members"`        // of that view
	HasSnapshot bool         `avro:"holds_snapshot"` // of the directory, so that its feed may be followed
	// ReachesMajority says that a majority of the members answers this process, so that it receives every change
	// that they acknowledge.
	ReachesMajority bool `avro:"reaches_majority"`
}

// MemberInfo is a member of a view.
type MemberInfo struct {
	ID      string `avro:"id"`
	Address string `avro:"address"` // IP
}

// Demands reports the demand of the sender's clients at each service with model servers.
type Demands struct {
	Services []Demand `avro:"services"`
}

// Demand is the mean number of prefill and decode calls that a proxy has in flight at a service.
type Demand struct {
	Service string  `avro:"service"`
	Prefill float64 `avro:"reading"`
	Decode  float64 `avro:"writing"`
}
