package server

// This file owns the way to the loop for every goroutine but its own.

// deliver hands something to the loop and waits while its queue is full; false: it takes no more.
func (s *Server) deliver(m message) bool {
	select {
	case s.loop.inbox <- m:
		return true
	case <-s.ctx.Done():
		return false
	}
}

func (s *Server) receiveGossip(from int, text []byte) {
	if from != s.start.Terms.Me {
		s.deliver(gossipReceived{from, text})
	}
}
