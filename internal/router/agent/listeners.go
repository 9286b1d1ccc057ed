package agent

import (
	"fmt"
	"net"
	"strconv"

	"cresshub/internal/invariant"
	"cresshub/internal/router/controlserver"
	"cresshub/internal/router/fleetconfig"
)

// maxCallBody bounds the body of a call at the control address, in bytes. It is the maximum size of a
// configuration.
const maxCallBody = fleetconfig.MaxDocumentBytes

// listeners are the listeners of a process. Those without an address in the settings are nil.
type listeners struct {
	peers     net.Listener // for the other processes of the fleet
	clients   net.Listener // for clients
	readiness net.Listener // for the platform's readiness checks
	control   net.Listener // for servers and operators
}

func (a *Agent) listen() (*listeners, error) {
	l := &listeners{}
	for _, each := range []struct {
		listener *net.Listener
		address  string
	}{
		{&l.peers, a.peerAddress(a.settings.IP)}, {&l.control, a.settings.Control},
		{&l.readiness, a.settings.Ready}, {&l.clients, a.settings.Front},
	} {
		if each.address == "" {
			continue
		}
		listener, err := a.network.Listen(each.address)
		if err != nil {
			return nil, fmt.Errorf("listening: %w; free the address or change it in the settings", err)
		}
		*each.listener = listener
	}
	return l, nil
}

// serveAll starts serving at all listeners. Each of them is served until the shutdown closes it.
func (a *Agent) serveAll(l *listeners) {
	go func() { _ = a.endpoint.Serve(l.peers, a.peers) }()
	if l.control != nil {
		go a.serveCalls(l.control, a.handleCall, maxCallBody)
	}
	if l.readiness != nil {
		go a.serveCalls(l.readiness, a.handleReady, 0)
	}
	if l.clients != nil {
		go func() { _ = a.proxy.Serve(l.clients) }()
	}
}

// serveMetrics serves the metrics at a port of their own, if one is configured, and returns a function that
// closes the listener. Without that port, the metrics are still served at the control address.
func (a *Agent) serveMetrics() (end func()) {
	if a.metricsPort == 0 {
		return func() {}
	}
	listener, err := a.network.Listen(net.JoinHostPort(a.settings.IP, strconv.Itoa(a.metricsPort)))
	if err != nil {
		a.log.Warn().Err(err).Msg("metrics: listening failed; call /metrics at the control address")
		return func() {}
	}
	go a.serveCalls(listener, a.metricsEndpoint.handle, 0)
	return func() { listener.Close() }
}

// serveCalls serves calls, whose bodies may have at most maxBody bytes, until the listener closes.
func (a *Agent) serveCalls(listener net.Listener, handle controlserver.Handler, maxBody int64) {
	server := &controlserver.Server{MaxBodyBytes: maxBody, Handler: handle, OnAcceptError: a.acceptFailed,
		OnPanic: a.handlerPanicked}
	_ = server.Serve(listener) // net.ErrClosed
}

// acceptFailed records that a connection could not be accepted at one of the listeners other than that for
// clients. The listener retries.
func (a *Agent) acceptFailed(err error) {
	a.metrics.acceptErrors.Add(1)
	a.acceptLog.Warn().Err(err).Msg("agent: accepting a connection failed; retrying")
}

// handlerPanicked records that the handler of a call panicked. The violation of an invariant panics only in
// tests; it is not recovered, so that the test fails.
func (a *Agent) handlerPanicked(err *controlserver.PanicError) {
	if violation, ok := err.Value.(*invariant.ViolationError); ok {
		panic(violation)
	}
	a.metrics.handlerPanics.Add(1)
	a.log.Error().Err(err).Bytes("stack", err.Stack).Msg("agent: handler panicked")
}
