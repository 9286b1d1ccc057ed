// Package labcli is the command line of the laboratory, cresshub-lab: it runs scenarios on the model of the
// client proxies (package experiment), trials of gossip and of the server list in virtual time (package
// proxysim), and trials with real processes (package clusterrig). Exit status 0 is success, 1 a failure, 2
// wrong usage.
//
// It parses flags, checks their bounds and prints results, and leaves what is modelled and measured to those
// packages. The commands that run models use the real clock only for the wall time that run prints, and for
// the progress on a terminal; load and rig play in real time.
package labcli
