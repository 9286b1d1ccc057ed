// Package roleplan decides how many model servers of a service have the prefill role and how many the decode
// role, and which servers must change their role.
//
// Prefill (processing prompts) is by far the larger part of the work, so that all servers that are not needed
// for decode get the prefill role. Decode (generating tokens) keeps a minimum number of servers, spread over
// the zones, because every response depends on it. The planner follows the demand that all proxies report
// together. While there is traffic, it changes few servers at a time and tolerates small deviations, so that
// servers don't alternate between the roles.
//
// Plan compares the number of decode servers with the desired number (demand.go), limits the difference, and
// chooses the servers that change (choose.go).
//
// The separation of the two phases follows DistServe (Zhong et al., OSDI 2024) and Splitwise (Patel et al.,
// ISCA 2024).
//
// The package has no state: Plan is a pure function of its arguments and may be called by any goroutine.
// The caller must ensure that the servers get the orders of only one planner.
package roleplan
