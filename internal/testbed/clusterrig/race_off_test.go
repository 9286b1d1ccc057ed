//go:build !race

package clusterrig

const underRace = false
