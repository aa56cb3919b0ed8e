// Package controlplane connects the brokers of a tier. It replicates a state machine among them by raft, and exchanges facts that need no
// log entry, such as replicas' positions.
//
//	operator ──request──► leader ──entries──► raft among the voters ──► state machine on each voter
//	                        ▲                                                  │ feed
//	      proposals, renewals, reports                                         ▼
//	                        └──────────────── followers, in a tree below the voters
//
// All connections use mutual TLS between brokers of one site. A voter dials every other voter. A broker without a vote follows a source: a
// voter, or a follower that has a path from a voter. It receives the log entries in order, and sends proposals, lease renewals and reports
// towards the leader; grants of session leases return the same way. Heartbeats carry the path from a voter, and topics, such as replicas'
// positions, with their age.
//
// The leader grants session leases after a majority has confirmed that it leads, marks brokers as lost once their lease has certainly
// expired, plans releases, and runs the tasks added by AddLeaderTask. It only proposes entries: the state machine enforces the limits.
//
// One goroutine, the loop of Run, owns all state except the options. Other goroutines read and write connections and queue tasks for the
// loop. Queries never wait for the control plane: Options.OnView receives immutable views. Run and all its goroutines end with its context.
package controlplane
