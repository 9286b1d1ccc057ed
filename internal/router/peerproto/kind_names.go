package peerproto

// kindNames are the names of the kinds of frames, for figures and logs.
var kindNames = [Kinds]string{
	KindHello: "hello", KindPing: "ping", KindPong: "pong", KindUpsert: "upsert", KindFollow: "follow",
	KindFeed: "feed", KindCompare: "compare", KindComparison: "comparison", KindPropose: "propose",
	KindRead: "read", KindResult: "result", KindChain: "chain", KindDone: "done", KindConfigFetch: "fetch",
	KindWork: "work", KindHubWork: "hub work", KindIntroduce: "introduce",
	KindPatch: "patch",
}

// String implements fmt.Stringer.
func (k Kind) String() string {
	if k < Kinds && kindNames[k] != "" {
		return kindNames[k]
	}
	return "unknown"
}
