package routersim

import "time"

// Engine describes how a model server works.
type Engine struct {
	Slots              int     // requests that run at once
	StepMs             float64 // time of a step of the batch, which decodes a token of each running request
	StepSlotMs         float64 // time that each decoding request adds to a step
	PrefillTokensPerMs float64
	MsPerMillionPairs  float64 // time of a prefill to compare a million pairs of tokens (attention)
	SetupMs            float64 // time from a request's arrival until it waits for a slot
	PrefillChunk       int     // prompt tokens that a prefill server computes in a step
	CacheTokens        int     // capacity of the prefix cache
	TokenBytes         float64 // size of a token in the prefix cache
	LinkMegabits       float64 // per second, of the link that a server fetches prefixes over
}

const (
	decodePrefillFactor = 2               // a prefill at a decode server takes so many times as long
	decodeChunkDivisor  = 4               // and runs in chunks so many times smaller
	crossZoneFactor     = 2               // a transfer between zones takes so many times as long
	maxTransferQueue    = 2 * time.Second // a transfer that would wait for longer fails
)

// prefillMs returns the time of a prefill of so many tokens at a prefill server; pairs is the number of pairs
// of tokens that it compares.
func (e *Engine) prefillMs(tokens, pairs float64) float64 {
	const million = 1e6
	return tokens/e.PrefillTokensPerMs + pairs/million*e.MsPerMillionPairs
}

// comparedPairs returns the number of pairs of tokens that a prefill of so many tokens compares: each with
// those before it, of which so many were there already.
func comparedPairs(tokens, before float64) float64 { return tokens*before + tokens*tokens/2 }

// transferMs returns the time of a transfer of the prefix cache of so many tokens within a zone.
func (e *Engine) transferMs(tokens int) float64 {
	const bitsPerByte, bitsPerMsAtOneMbps = 8, 1000
	return float64(tokens) * e.TokenBytes * bitsPerByte / (e.LinkMegabits * bitsPerMsAtOneMbps)
}
