// Package labcli is the command line of the laboratory, cresshub-lab: it runs scenarios on the model of the
// client proxies (package experiment), trials of gossip and of the server list in virtual time (package
// proxysim), and trials with real processes (package clusterrig). Exit status 0 is success, 1 a failure, 2
// wrong usage.
package labcli
