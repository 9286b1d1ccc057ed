//go:build race

package main

// raced tells that the race detector is in the program, whose memory then says nothing of the program's.
const raced = true
