package server

// deliver puts a message into the loop's inbox and waits while the inbox is full. It reports false if the loop has ended. It may be called
// from any goroutine except the loop's, which would wait for itself.
func (s *Server) deliver(m message) bool {
	select {
	case s.loop.inbox <- m:
		return true
	case <-s.ctx.Done():
		return false
	}
}

// receiveGossip delivers a gossip message of another broker. The broker's own messages that come back are dropped.
func (s *Server) receiveGossip(from int, text []byte) {
	if from != s.start.Terms.PeerNumber {
		s.deliver(gossipReceived{from, text})
	}
}
