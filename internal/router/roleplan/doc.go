// Package roleplan decides how many model servers of a service prefill and how many decode, and which servers
// are to change their role.
//
// Prefill (reading prompts) is by far the larger work, so that all servers that are not needed for decode
// prefill. Decode (making tokens) keeps a minimum spread over the zones, because every response depends on
// it. The planner follows the demand that all proxies report together; while there is traffic it changes few
// servers at a time and tolerates small deviations, so that servers don't change back and forth.
//
// Plan compares the servers that decode with those wanted (demand.go), limits the difference, and chooses the
// servers that change (choose.go).
//
// The separation of the two phases follows DistServe (Zhong et al., OSDI 2024) and Splitwise (Patel et al.,
// ISCA 2024).
//
// The package has no state: Plan is a pure function of its arguments and may be called by any goroutine.
// Whoever calls it has to make sure that only one planner's orders reach the servers.
package roleplan
