package routerstandin

import "cresshub/internal/http1"

// Header fields of the protocol. The stand-ins name them anew instead of taking them from the router.
const (
	attemptIDHeader = "Cresshub-Try-Id"
	deadlineHeader  = "Cresshub-Deadline-Ms"
	expectHeader    = "Cresshub-Expect-Server"
	stampHeader     = "Cresshub-Server-Stamp"
	serverIDHeader  = "Cresshub-Server-Id"
	notRunHeader    = "Cresshub-Not-Run"
	loadHeader      = "Cresshub-Server-Load"
	stageHeader     = "Cresshub-Stage"
	modelHeader     = "Cresshub-Model"
	tokensHeader    = "Cresshub-Tokens"
	prefixHeader    = "Cresshub-Prompt-Prefix"
	kvFromHeader    = "Kv-From"
	lastEventHeader = "Last-Event-Id"
	retryHeader     = "Retry-After"
	keepAliveHeader = "Keep-Alive"
)

// Paths of the protocol.
const (
	reportPath  = "/api/report"
	orderPath   = "/api/order"
	handlePath  = "/api/kv-handle/"
	serversPath = "/api/servers/"
	configPath  = "/api/config"
	readyPath   = "/api/ready"
)

// The stages of model servers, in the words of the protocol.
const (
	StagePrefill = "reading" // computes the prefix caches of prompts
	StageDecode  = "writing" // produces tokens
)

// ModelName is the model that all model servers serve.
const ModelName = "m"

// field returns a header line.
func field(name, value string) http1.Field { return http1.Field{Name: name, Value: value} }

// jsonType is the header line of a JSON body.
func jsonType() http1.Field { return field("Content-Type", "application/json") }
