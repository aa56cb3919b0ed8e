package controlplane

// This file owns what connections and their frames lead to.

import (
	"errors"
	"fmt"
	"log/slog"
	"slices"

	"flaxfront/internal/decision/statemachine"
)

// take does what a frame asks for. A side that sends what makes no sense is not trusted further.
func (f *Participant) take(c *conn, letter byte, body []byte) {
	if !f.conns[c] {
		return
	}
	f.Counts.FramesIn.Add(1)
	f.Counts.BytesIn.Add(uint64(len(body) + 5))
	now := f.o.Now()
	var err error
	switch {
	case c.peer.Role == roleOperator && letter != letterAsk:
		err = fmt.Errorf("%w: letter %q of an operator", errFrame, letter)
	case letter == letterRaft:
		f.takePacket(c, body)
	case letter == letterFollow:
		err = with(body, func(m follow) { f.takeFollow(c, m.Index) })
	case letter == letterOther:
		err = with(body, func(m other) {
			if c == f.source && len(m.Addrs) <= 64 {
				c.others = m.Addrs
			}
			c.close()
		})
	case letter == letterFeed:
		err = with(body, func(m feed) { f.takeFeed(c, m) })
	case letter == letterPiece:
		err = with(body, func(m piece) { f.takePiece(c, m) })
	case letter == letterUp:
		err = with(body, func(m up) { f.takeUp(c, m, now) })
	case letter == letterDown:
		err = with(body, func(m down) { f.takeDown(c, m, now) })
	case letter == letterBeat:
		err = with(body, func(m beat) { f.takeBeat(c, m, now) })
	case letter == letterAsk:
		err = with(body, func(m ask) { f.takeAsk(c, m) })
	case letter == letterHello:
		err = fmt.Errorf("%w: a second hello", errFrame)
	default: // of a newer version
	}
	if err != nil {
		slog.Warn("fleet: what came makes no sense", "from", c.peer.Name, "error", err)
		c.close()
	}
}

func with[T any](body []byte, do func(T)) error {
	m, err := decode[T](body)
	if err == nil {
		do(m)
	}
	return err
}

// takePacket hands Raft what a voter sent.
func (f *Participant) takePacket(c *conn, body []byte) {
	i := slices.IndexFunc(f.o.Voters, func(v Voter) bool { return v.Name == c.peer.Name })
	if i < 0 || f.node == nil {
		return
	}
	if err := f.node.Step(uint64(i+1), body, f.o.Now()); err != nil {
		slog.Debug("fleet: a voter's packet was dropped", "from", c.peer.Name, "error", err)
	}
}

// moves tells whether an entry changes the agreed nodes; what brokers hold of them is not counted.
func moves(e statemachine.Entry) bool {
	switch e.(type) {
	case *statemachine.LeaderElected, *statemachine.RegisterBroker, *statemachine.MarkBrokerLost, *statemachine.AcknowledgeDrain, *statemachine.AcknowledgePolicy, *statemachine.GrantLease, *statemachine.AcknowledgeLease,
		*statemachine.RelinquishLease, *statemachine.ExpireLease:
		return false
	}
	return true
}

// came takes a connection over.
func (f *Participant) came(c *conn) {
	f.conns[c] = true
	if !c.dialled {
		return
	}
	if c.voter {
		f.voters[c.peer.Name] = c
		return
	}
	f.source, f.upPath, f.upAt = c, nil, f.o.Now()
	f.whole = whole{}
	f.Counts.Sources.Add(1)
	f.put(c, letterFollow, follow{f.state.AppliedIndex()})
}

// gone forgets a connection.
func (f *Participant) gone(c *conn, err error) {
	delete(f.conns, c)
	if f.voters[c.peer.Name] == c {
		delete(f.voters, c.peer.Name)
	}
	if f.source == c {
		f.source, f.upPath = nil, nil
	}
	for s, via := range f.via {
		if via == c {
			delete(f.via, s)
		}
	}
	for _, seq := range c.asks { // an operator that has gone wants nothing more
		delete(f.pending, seq)
	}
	if errors.Is(err, errFrame) {
		slog.Warn("fleet: what came makes no sense", "from", c.peer.Name, "error", err)
	}
}

func (f *Participant) put(c *conn, letter byte, body any) bool {
	b := frame(letter, body)
	f.Counts.FramesOut.Add(1)
	f.Counts.BytesOut.Add(uint64(len(b)))
	return c.put(b)
}
