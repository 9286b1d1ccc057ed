package dataplane

import (
	"net"

	"cresshub/internal/acceptloop"
)

// Serve accepts clients until the listener is closed, and then returns nil.
func (p *Proxy) Serve(listener net.Listener) error {
	logFailure := func(err error) {
		p.observer.failureLog.Warn().Err(err).Msg("front: accept failed, retrying")
	}
	_ = acceptloop.Run(listener, logFailure, p.accept) // returns only when the listener is closed
	return nil
}

// accept starts a goroutine that serves the client, or closes its connection if the connection limit is
// reached.
func (p *Proxy) accept(conn net.Conn) {
	socket, err := newSocket(conn, p.clock)
	if err != nil {
		conn.Close()
		return
	}
	// An accepted socket is connected already, so only the option has to be set. The connection works without
	// it (see setUserTimeout), so an error is ignored.
	_ = setUserTimeout(socket.raw, clientUnackedTimeout)
	client := &client{proxy: p, socket: socket}
	if !p.addClient(client) {
		conn.Close()
		p.counters.clientsRejected.Add(1)
		p.observer.failureLog.Warn().Int("most", p.connectionLimit()).
			Msg("front: connection limit reached, client closed")
		return
	}
	p.counters.clients.Add(1)
	go client.run()
}

// addClient registers a client. It returns false if the connection limit is reached.
func (p *Proxy) addClient(client *client) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.clients) >= p.connectionLimit() {
		return false
	}
	p.clients[client] = struct{}{}
	return true
}

func (p *Proxy) removeClient(client *client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.clients, client)
	close(p.clientsChanged)
	p.clientsChanged = make(chan struct{})
}
