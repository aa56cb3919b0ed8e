// Package controlplane connects the brokers of a tier: what they agree on, and what they tell one another outside the log.
//
//	operator ──request──► leader ──entries──► raft among the voters ──► state machine on each voter
//	                        ▲                                                  │ feed
//	      proposals, renewals, reports                                         ▼
//	                        └──────────────── followers, in a tree below the voters
//
// All connections are mutual TLS between brokers of one site. A broker with a vote dials every other voter. A broker without one follows
// a source: a voter, or a follower that has a path from a voter. It gets the entries in their order, and sends proposals, lease renewals
// and reports upwards; grants of session leases come down the same way. Heartbeats carry the path from a voter, and topics, such as
// replicas' positions, with their age.
//
// The leader grants session leases after a majority confirmed that it leads, proposes the loss of brokers whose lease has surely
// expired, plans releases, and runs the tasks that are handed in. It only ever proposes: limits are kept by the state machine.
//
// One goroutine, the loop of Run, owns everything but the options; others read and write connections and queue tasks for it. Queries
// never wait for any of it: Options.OnView is handed immutable views. Run ends with its context, and all goroutines with it.
package controlplane
