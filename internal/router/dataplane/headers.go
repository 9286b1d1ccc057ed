package dataplane

// Header fields of the fleet.
const (
	tryIDHeader         = "Cresshub-Try-Id"
	deadlineHeader      = "Cresshub-Deadline-Ms"
	expectServerHeader  = "Cresshub-Expect-Server"
	stampHeader         = "Cresshub-Server-Stamp"
	notRunHeader        = "Cresshub-Not-Run"
	loadHeader          = "Cresshub-Server-Load"
	priorityHeader      = "Priority"
	stageHeader         = "Cresshub-Stage"
	kvFromHeader        = "Kv-From"
	lastEventHeader     = "Last-Event-Id"
	expectVersionHeader = "Expect-Version"
	modelHeader         = "Cresshub-Model"
	tokensHeader        = "Cresshub-Tokens"
	prefixHeader        = "Cresshub-Prompt-Prefix"
	prefillStage        = "reading"
	handlePath          = "/api/kv-handle/"
	eventStreamType     = "text/event-stream"
)
