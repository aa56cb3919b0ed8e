package statemachine

import "cmp"

// issueNodePermit gives a node its permit, which is its drain.
func (s *State) issueNodePermit(n *nodeRecord, permit ReleasePermit, reason string) {
	n.releasePermit = permit
	n.drain = NodeDrain{Node: permit.Node, Number: permit.Number, Reason: reason, Release: permit.Release}
}

func (n *nodeRecord) clearPermit() {
	n.releasePermit = ReleasePermit{}
	n.drain = NodeDrain{}
}

// nodesOut counts the nodes that are not ready, for whatever cause.
func (s *State) nodesOut(zone string) (out outCount) {
	for _, n := range s.nodes {
		if n.listed && !n.isReady() {
			out.add(n.Zone == zone)
		}
	}
	return out
}

// checkNodePermit tells whether a node may be let go.
func (s *State) checkNodePermit(r *Release, id NodeID) error {
	n, err := s.findListedNode(id)
	if err != nil {
		return err
	}
	if n.drain.Number > 0 {
		return reject(ReasonBusy, "node %v is drained by entry %d", id, n.drain.Number)
	}
	out := s.nodesOut(n.Zone)
	if n.downIndex > 0 { // it counts already
		out.tier--
		out.zone--
	}
	return cmp.Or(s.checkOutLimits(r, out, n.Zone), s.checkReadyReplicas(n, r.MinReadyReplicas))
}

// voidNodePermit takes back a node's unused permit, and with it the drain.
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

// returnNodeToService ends what a number began: a permit that was used, or a MarkNodeDown.
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
	if step.OutAtRollback { // which version a node came back with can't be told: it goes out once more
		step.State = StepPending
		step.OutAtRollback = false
	} else {
		step.State = StepFinished
	}
	r.finishIfComplete()
}
