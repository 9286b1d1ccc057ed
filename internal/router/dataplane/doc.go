// Package dataplane is the data plane of a process of the router fleet: it accepts HTTP/1.1 requests from
// clients, forwards each to servers of its route's service, and relays the response back.
//
// # Request path
//
// The files, in the order in which a request passes through them:
//
//   - proxy.go: New creates a Proxy; State is the agent as the Proxy sees it.
//   - accept.go: Proxy.Serve accepts connections and starts a goroutine for each client.
//   - client.go: client.run waits for a request, reads it and answers it, until the connection ends. Its
//     socket (socket.go, readstate.go) holds buffers only while bytes are transferred.
//   - readrequest.go, request.go: read the head and buffer the body; determine the route, the service and the
//     deadlines.
//   - roundtrip.go: roundTrip.run makes calls until one of them is answered or no further one is permitted.
//   - prefill.go, kvhandle.go: a call that has a server prefill the prompt; the handle of its prefix cache.
//   - nextcall.go, chooser.go: the scheduler's choice of a server for the next call.
//   - call.go: call.run is one attempt at one server. Its steps are connect.go (pool.go, connection.go),
//     send.go (upload.go for large bodies, priority.go for model servers) and receive.go; readdeadline.go and
//     timeouts.go determine how long each read waits.
//   - classify.go: decides what is done with the server's response.
//   - relay.go: relay.forwardResponse forwards the response, buffered (buffered.go) or as a stream of events
//     (stream.go, events.go).
//   - failure.go, retry.go: how a call failed, and whether another one may follow. A retry is charged to the
//     service's retry budget (attempts.go, retrybudget.go, slidingmax.go).
//   - stop.go, disconnect.go: end a request early because its client disconnects or the process ends.
//   - conclude.go: ends the response, or sends a local reply (localreply.go) if no server has begun one.
//     clientresponse.go has what all responses to clients share; linger.go closes the connection.
//   - outcome.go, trace.go: record the request in the metrics and the log.
//
// The other files: drain.go shuts the process down gracefully, limits.go bounds requests and connections,
// peerload.go and demand.go provide what the agent exchanges with other processes, metrics.go and stats.go
// export metrics and counts, headers.go names and parses header fields.
//
// # Retries
//
// Whether a request may be sent again, and what the client is answered when no further attempt is made,
// depends on one question: whether the request may have run (execution). docs/design/request-path.md lists
// the faults that this covers.
//
// # Concurrency
//
// Proxy's exported methods may be called from any goroutine. A client's connection is served by one
// goroutine, which owns its requests, roundTrips, calls and relays. Other goroutines call only
// client.closeIfIdle, client.abortRequest and roundTrip.stop, when the client disconnects or the process
// ends. Two short-lived goroutines wait on a socket on behalf of its owner: disconnectWatcher on the
// client's, watchEarlyResponse on a server's.
package dataplane
