// Package ingress serves HTTP clients: it accepts connections, reads requests, submits queries to the broker, watches for clients that
// leave, and writes answers. What becomes of a query is decided behind the interface Broker.
//
// The life of a connection, with the State that the set of connections sees and the Reason of each end:
//
//	accepted ──no capacity, not even beyond the limit──► waits to be admitted, and the kernel's queue behind it
//	   │ admitted (Overflow of them beyond the limit: these are shed and closed)
//	   ▼
//	 idle ─────► ends: idle, client_closed, client_reset, drained (stop), spare (its descriptor is needed)
//	   │ first byte        ▲
//	   ▼                   │
//	 reading ──► ends: slow_request (408), bad_request (400, 413, ...), cut_short, drained, spare
//	   │ request whole     │ answered, and more may come
//	   ▼                   │
//	 busy ───────►─────────┘
//	   └───────► ends: client_left (its query is abandoned), bad_request, write_failed, shutdown,
//	             last_answer (the client or the broker asked for it)
//
// After a last answer the sending side is closed, and what still arrives is read and dropped for a while (lingering close).
//
// Concurrency: Run accepts in its own goroutine and starts one for each connection; while a query is in flight a second one watches its
// connection. The set of connections is behind one lock. Methods of Ingress may be called from any goroutine.
package ingress
