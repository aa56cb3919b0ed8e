// Package ingress serves HTTP clients: it accepts connections, reads requests, submits queries to the broker, watches for clients that
// leave, and writes answers. The broker, behind the interface Broker, decides what happens to a query.
//
// The states of a connection (State), and the reason codes with which it ends in each (Reason):
//
//	accepted ──no capacity, not even beyond the limit──► waits to be admitted; later ones wait in the kernel's queue
//	   │ admitted (up to Overflow beyond the limit: their queries are shed, then they are closed)
//	   ▼
//	 idle ─────► ends: idle, client_closed, client_reset, drained (shutdown), spare (its descriptor is needed)
//	   │ first byte        ▲
//	   ▼                   │
//	 reading ──► ends: slow_request (408), bad_request (400, 413, ...), cut_short, drained, spare
//	   │ request whole     │ answered, and another request may follow
//	   ▼                   │
//	 busy ───────►─────────┘
//	   └───────► ends: client_left (its query is abandoned), bad_request, write_failed, shutdown,
//	             last_answer (the client or the broker asked for it)
//
// After a last answer the sending side is closed, and what still arrives is discarded for a while (lingering close).
//
// Concurrency: Run accepts connections in the goroutine that calls it, and starts one goroutine for each connection; while a query is in
// flight a second one watches its connection. One lock guards the set of connections. Methods of Ingress may be called from any goroutine.
package ingress
