package peerproto

// Kind is the type of a frame. It determines which message the body holds and how the frame is answered.
type Kind uint8

// The kinds of frames. An answer has the id of its call.
const (
	KindHello       Kind = 1  // Hello, the first frame of a connection
	KindPing        Kind = 2  // Demands; answered by KindPong
	KindPong        Kind = 3  // Status
	KindUpsert      Kind = 4  // Records; answered by KindAck once they are merged
	KindFollow      Kind = 5  // Follow; answered by frames of KindFeed until the connection ends
	KindFeed        Kind = 6  // Feed
	KindCompare     Kind = 7  // Comparison; answered by KindComparison
	KindComparison  Kind = 8  // Comparison
	KindPropose     Kind = 9  // Proposal of a document; answered by KindResult
	KindRead        Kind = 10 // no body; answered by KindResult
	KindResult      Kind = 11 // Result
	KindChain       Kind = 12 // ChainMessage; not answered by a frame
	KindAck         Kind = 13 // no body
	KindConfigFetch Kind = 14 // no body; answered by KindResult with the configuration in force there, packed
	// KindLoadReport holds a LoadReport. A proxy sends its own load to its hub; a hub sends each follower the
	// load of all other proxies.
	KindLoadReport Kind = 15
	// KindHubLoadReport holds a LoadReport with the load of a hub and its followers, sent to another hub.
	KindHubLoadReport Kind = 16
	KindAnnounce      Kind = 17 // Status, to a process that may not know the view; answered by KindPong
	KindPatch         Kind = 18 // Proposal of a patch; answered by KindResult

	NumKinds = 19 // the number of kinds, including 0, which no valid frame has
)

// kindNames are the names of the kinds in metrics and logs.
var kindNames = [NumKinds]string{
	KindHello:         "hello",
	KindPing:          "ping",
	KindPong:          "pong",
	KindUpsert:        "upsert",
	KindFollow:        "follow",
	KindFeed:          "feed",
	KindCompare:       "compare",
	KindComparison:    "comparison",
	KindPropose:       "propose",
	KindRead:          "read",
	KindResult:        "result",
	KindChain:         "chain",
	KindAck:           "ack",
	KindConfigFetch:   "config_fetch",
	KindLoadReport:    "load_report",
	KindHubLoadReport: "hub_load_report",
	KindAnnounce:      "announce",
	KindPatch:         "patch",
}

// String implements fmt.Stringer.
func (k Kind) String() string {
	if k < NumKinds && kindNames[k] != "" {
		return kindNames[k]
	}
	return "unknown"
}
