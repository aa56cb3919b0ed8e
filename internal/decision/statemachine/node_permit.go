package statemachine

import "cmp"

// issueNodePermit gives a node its permit and begins its drain.
func (s *State) issueNodePermit(n *nodeRecord, permit ReleasePermit, reason string) {
	n.releasePermit = permit
	n.drain = NodeDrain{Node: permit.Node, Number: permit.Number, Reason: reason, Release: permit.Release}
}

func (n *nodeRecord) clearPermit() {
	n.releasePermit = ReleasePermit{}
	n.drain = NodeDrain{}
}

// nodesOut counts the listed nodes that are not ready, whatever the reason, in the tier and in a zone.
func (s *State) nodesOut(zone string) (out outCount) {
	for _, n := range s.nodes {
		if n.listed && !n.isReady() {
			out.add(n.Zone == zone)
		}
	}
	return out
}

// checkNodePermit rejects a permit for a node that may not go out now.
func (s *State) checkNodePermit(r *Release, id NodeID) error {
	n, err := s.findListedNode(id)
	if err != nil {
		return err
	}
	if n.drain.Number > 0 {
		return reject(ReasonBusy, "node %v is drained by entry %d", id, n.drain.Number)
	}
	out := s.nodesOut(n.Zone)
	if n.downIndex > 0 { // out already counts this node
		out.tier--
		out.zone--
	}
	return cmp.Or(s.checkOutLimits(r, out, n.Zone), s.checkReadyReplicas(n, r.MinReadyReplicas))
}

// voidNodePermit withdraws a node's unused permit and ends its drain.
func (s *State) voidNodePermit(n *nodeRecord) {
	if n.releasePermit.Number == 0 || n.releasePermit.Used {
		return
	}
	s.returnStepToPending(0, n.Node)
	n.clearPermit()
}

func (s *State) useNodePermit(id NodeID, permit uint64) error {
	n := s.findNode(id)
	switch {
	case n == nil || n.releasePermit.Number == 0 || n.releasePermit.Number != permit:
		return reject(ReasonNotFound, "permit %d of node %v", permit, id)
	case n.releasePermit.Used:
		return reject(ReasonAlreadyUsed, "permit %d of node %v", permit, id)
	case !s.IsDrained(id):
		return reject(ReasonNotDrained, "node %v: %d brokers", id, len(s.MissingDrainAcks(id)))
	}
	r, err := s.runningRelease(n.releasePermit.Release)
	if err != nil {
		return err
	}
	n.releasePermit.Used = true
	s.markStepOut(r, 0, id)
	return nil
}

// returnNodeToService ends a used permit of this number, or the MarkNodeDown entry at this index.
func (s *State) returnNodeToService(id NodeID, number uint64) error {
	n := s.findNode(id)
	switch {
	case n == nil || number == 0:
		return reject(ReasonNotFound, "node %v", id)
	case n.releasePermit.Used && n.releasePermit.Number == number:
		n.clearPermit()
		n.downIndex = 0
		s.finishNodeStep(id)
	case n.downIndex == number:
		n.downIndex = 0
	default:
		return reject(ReasonStale, "number %d of node %v", number, id)
	}
	s.pruneNodes()
	return nil
}

// finishNodeStep records a node's return in its release.
func (s *State) finishNodeStep(id NodeID) {
	r := s.release
	if r == nil {
		return
	}
	step := r.findStep(0, id)
	if step == nil || step.State != StepOut {
		return
	}
	r.ChangedIndex = s.index
	if step.OutAtRollback { // the version of a node is not known, so it must go out again
		step.State = StepPending
		step.OutAtRollback = false
	} else {
		step.State = StepFinished
	}
	r.finishIfComplete()
}
