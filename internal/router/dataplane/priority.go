package dataplane

const (
	// lowestPriority is the last of the priorities that a model server supports; 0 is served first.
	lowestPriority = 9
	// tokensPerPriorityLevel is how many tokens to prefill lower the priority of a call by one level. Short
	// prompts go before long ones, because a long one delays all calls queued behind it.
	tokensPerPriorityLevel = 1000
)

// priorityOf returns the priority of a call at its model server, from the route's priority and the number of
// tokens that the server has to prefill.
func priorityOf(route, tokens int) int {
	return min(route+tokens/tokensPerPriorityLevel, lowestPriority)
}
