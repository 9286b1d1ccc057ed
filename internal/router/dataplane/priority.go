package dataplane

const (
	// lowestPriority is the last of the priorities that a model server knows; 0 is the first.
	lowestPriority = 9
	// tokensPerStep is how many tokens to prefill put a call one priority later. Short prompts go before
	// long ones, because a long one makes all those behind it wait.
	tokensPerStep = 1000
)

// priorityOf is the priority of a call at its model server, by the route's own and by the tokens to prefill
// there.
func priorityOf(route, tokens int) int { return min(route+tokens/tokensPerStep, lowestPriority) }
