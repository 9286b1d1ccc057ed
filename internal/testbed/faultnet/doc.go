// Package faultnet is a faulty network of loopback relays between several processes of the program. Between
// every ordered pair of members lies a link that can block, drop or delay what crosses it, datagrams and
// streams alike.
//
// Each member sends through a relay of its own, a SOCKS5 server (RFC 1928: CONNECT for streams, the UDP form
// of section 7 for datagrams, on one port), so the relay knows the sender; it finds the receiver by address,
// which AddAddress registers. It needs no privileges and touches no sockets but the members' own.
//
// A test or rig starts one with New, gives each member the address of its Relay, registers by AddAddress
// where members listen, and sets faults by Set, Partition and Heal, at any time and for streams that are open
// as well. The network judges nothing: Counts tells what crossed each link and what got lost.
//
// A Net's methods may be called from any goroutine. A relay runs a goroutine for datagrams, one that accepts
// streams, and for each stream one that serves it and two, a reader and a writer, per direction. Close ends
// all of them.
package faultnet
