package server

// deliver hands a message to the loop and waits while its inbox is full; false: the loop has ended. It may be called from any goroutine but the
// loop's.
func (s *Server) deliver(m message) bool {
	select {
	case s.loop.inbox <- m:
		return true
	case <-s.ctx.Done():
		return false
	}
}

// receiveGossip takes a message of another broker; one of its own, which came back, is dropped.
func (s *Server) receiveGossip(from int, text []byte) {
	if from != s.start.Terms.Me {
		s.deliver(gossipReceived{from, text})
	}
}
