package statemachine

// kind identifies the type of an entry in its encoded form.
type kind uint64

// A number is never reused for another type. One that is not listed belongs to a newer version.
const (
	kindLeaderElected kind = iota + 1
	kindRegisterBroker
	kindMarkBrokerLost
	kindRemoveBroker
	kindReturnToService
	kindReleasePlan
	kindIssuePermit
	kindUsePermit
	kindOpenNextBatch
	kindHaltRelease
	kindResumeRelease
	kindRollBackRelease
	kindDrainNode
	kindAcknowledgeDrain
	kindUndrainNode
	kindMarkNodeDown
	kindConnectionPolicy
	kindAcknowledgePolicy
	kindGrantLease
	kindAcknowledgeLease
	kindRelinquishLease
	kindExpireLease
	kindSetNodeList
	kindRaiseProtocol
)

// newEntry returns an empty entry of a kind, or nil if this program does not know the kind.
func newEntry(k kind) Entry {
	all := [...]Entry{
		kindLeaderElected:     &LeaderElected{},
		kindRegisterBroker:    &RegisterBroker{},
		kindMarkBrokerLost:    &MarkBrokerLost{},
		kindRemoveBroker:      &RemoveBroker{},
		kindReturnToService:   &ReturnToService{},
		kindReleasePlan:       &ReleasePlan{},
		kindIssuePermit:       &IssuePermit{},
		kindUsePermit:         &UsePermit{},
		kindOpenNextBatch:     &OpenNextBatch{},
		kindHaltRelease:       &HaltRelease{},
		kindResumeRelease:     &ResumeRelease{},
		kindRollBackRelease:   &RollBackRelease{},
		kindDrainNode:         &DrainNode{},
		kindAcknowledgeDrain:  &AcknowledgeDrain{},
		kindUndrainNode:       &UndrainNode{},
		kindMarkNodeDown:      &MarkNodeDown{},
		kindConnectionPolicy:  &ConnectionPolicy{},
		kindAcknowledgePolicy: &AcknowledgePolicy{},
		kindGrantLease:        &GrantLease{},
		kindAcknowledgeLease:  &AcknowledgeLease{},
		kindRelinquishLease:   &RelinquishLease{},
		kindExpireLease:       &ExpireLease{},
		kindSetNodeList:       &SetNodeList{},
		kindRaiseProtocol:     &RaiseProtocol{},
	}
	if k >= kind(len(all)) {
		return nil
	}
	return all[k]
}

func (*LeaderElected) kind() kind     { return kindLeaderElected }
func (*RegisterBroker) kind() kind    { return kindRegisterBroker }
func (*MarkBrokerLost) kind() kind    { return kindMarkBrokerLost }
func (*RemoveBroker) kind() kind      { return kindRemoveBroker }
func (*ReturnToService) kind() kind   { return kindReturnToService }
func (*ReleasePlan) kind() kind       { return kindReleasePlan }
func (*IssuePermit) kind() kind       { return kindIssuePermit }
func (*UsePermit) kind() kind         { return kindUsePermit }
func (*OpenNextBatch) kind() kind     { return kindOpenNextBatch }
func (*HaltRelease) kind() kind       { return kindHaltRelease }
func (*ResumeRelease) kind() kind     { return kindResumeRelease }
func (*RollBackRelease) kind() kind   { return kindRollBackRelease }
func (*DrainNode) kind() kind         { return kindDrainNode }
func (*AcknowledgeDrain) kind() kind  { return kindAcknowledgeDrain }
func (*UndrainNode) kind() kind       { return kindUndrainNode }
func (*MarkNodeDown) kind() kind      { return kindMarkNodeDown }
func (*ConnectionPolicy) kind() kind  { return kindConnectionPolicy }
func (*AcknowledgePolicy) kind() kind { return kindAcknowledgePolicy }
func (*GrantLease) kind() kind        { return kindGrantLease }
func (*AcknowledgeLease) kind() kind  { return kindAcknowledgeLease }
func (*RelinquishLease) kind() kind   { return kindRelinquishLease }
func (*ExpireLease) kind() kind       { return kindExpireLease }
func (*SetNodeList) kind() kind       { return kindSetNodeList }
func (*RaiseProtocol) kind() kind     { return kindRaiseProtocol }
