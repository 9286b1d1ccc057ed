// Package dataplane is the data plane of a process of the router fleet: it accepts clients' HTTP/1.1
// requests, forwards each to servers of its route's service, and relays the response back.
//
// # The way of a request
//
// In the order in which a request meets the files:
//
//   - proxy.go: New puts a Proxy together; State is what it reads of the agent.
//   - accept.go: Proxy.Serve accepts a connection; a client's goroutine serves it.
//   - client.go: client.run waits for a request, reads it and answers it, until the connection ends. Its
//     socket (socket.go, readstate.go) has buffers only while bytes pass.
//   - readrequest.go, request.go: the head and the buffered body; the route, the service, the deadlines.
//   - roundtrip.go: roundTrip.run makes calls until one of them is answered or no further one is permitted.
//   - prefill.go, kvhandle.go: a call that has a server prefill the prompt; the handle of its prefix cache.
//   - nextcall.go, chooser.go: the scheduler's choice of a server for the next call.
//   - call.go: call.run, one attempt at one server. Its steps are connect.go (pool.go, connection.go),
//     send.go (upload.go for large bodies, priority.go for model servers) and receive.go; readdeadline.go and
//     timeouts.go say how long each read waits.
//   - classify.go: what is done with the server's response.
//   - relay.go: relay.forwardResponse forwards it, buffered (buffered.go) or as a stream of events
//     (stream.go, events.go).
//   - failure.go, retry.go: how a call failed, and whether another one may follow. A retry is paid for from
//     the service's budget (attempts.go, retrybudget.go, slidingmax.go).
//   - stop.go, disconnect.go: what ends a request from outside: its client disconnects, or the process ends.
//   - conclude.go: the end of the response, or a local reply (localreply.go) if no server has begun one.
//     What every response to a client has is in clientresponse.go; linger.go ends the connection.
//   - outcome.go, trace.go: what the metrics and the log say of the request.
//
// Beside the way of a request: drain.go ends the process in order, limits.go bounds what is taken,
// peerload.go and demand.go are what the agent exchanges with other processes, metrics.go and stats.go are
// what operators see, headers.go and status.go are the names of what HTTP carries.
//
// # What may be sent again
//
// What may be sent again, and what the client is answered when nothing more is tried, follows from one
// question: whether the request may have run (execution). docs/design/request-path.md lists the faults that
// this covers.
//
// # Concurrency
//
// Proxy's exported methods may be called by any goroutine. A client's connection is served by one goroutine,
// to which its requests, roundTrips, calls and relays belong. Other goroutines call only client.closeIfIdle,
// client.abortRequest and roundTrip.stop: when the client disconnects or the process ends. Two short-lived
// ones wait on a socket for its owner: disconnectWatcher on the client's, watchEarlyResponse on a server's.
package dataplane
