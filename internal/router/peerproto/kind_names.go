package peerproto

// kindNames are the names of the kinds of frames, for figures and logs.
var kindNames = [NumKinds]string{
	KindHello: "hello", KindPing: "ping", KindPong: "pong", KindUpsert: "upsert", KindFollow: "follow",
	KindFeed: "feed", KindCompare: "compare", KindComparison: "comparison", KindPropose: "propose",
	KindRead: "read", KindResult: "result", KindChain: "chain", KindAck: "done", KindConfigFetch: "fetch",
	KindLoadReport: "work", KindHubLoadReport: "hub work", KindAnnounce: "introduce",
	KindPatch: "patch",
}

// String implements fmt.Stringer.
func (k Kind) String() string {
	if k < NumKinds && kindNames[k] != "" {
		return kindNames[k]
	}
	return "unknown"
}
