//go:build race

package clusterrig

// underRace tells that the tests run under the race detector, which sees this process but not the program's:
// what only takes long is left out there.
const underRace = true
