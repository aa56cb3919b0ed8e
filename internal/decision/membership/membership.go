// Package membership decides who of a tier of brokers is there: alive, suspected, dead, or gone as planned. It is SWIM (Das, Gupta and
// Motivala, 2002) with the additions of Lifeguard (Dadgar, Phillips and Currey, 2018): one probe at a time, indirect ones before
// anybody is suspected, news carried by the probes themselves, suspicion that shortens as others agree, and an observer that
// knows how late it is itself. Messages fit into the bytes that the caller allows. Nothing here does I/O, reads a clock or
// starts a goroutine: the caller hands over what came and when, and sends what Out returns.
//
// Depends on no package of this module. Concurrency: nothing here locks or starts a goroutine; a value is
// used by one goroutine at a time.
package membership

import (
	"cmp"
	"hash/fnv"
	"math"
	"net/netip"
	"slices"
	"time"
)

// ID is a member's number: a hash of its name, never 0.
type ID uint32

// IDOf makes the number of a name.
func IDOf(name string) ID {
	h := fnv.New32a()
	h.Write([]byte(name))
	return ID(max(1, h.Sum32()))
}

// State is what is thought of a member.
type State uint8

// A member is in one of these. Dead ones may come back, by a higher incarnation.
const (
	Alive State = iota
	Suspect
	Dead
	Left // as planned
)

func (s State) String() string {
	return [...]string{"alive", "suspected", "dead", "left"}[min(s, Left)]
}

// Member is one broker.
type Member struct {
	ID             ID             `json:"ID"`
	Name           string         `json:"Name"`
	Address        netip.AddrPort `json:"Addr"`
	Incarnation    uint32         `json:"Inc"`    // its incarnation: it alone raises it
	Weight         uint8          `json:"Weight"` // its spare capacity, as it states it
	State          State          `json:"State"`
	StateChangedAt time.Duration  `json:"Since"`
}

// Policy holds what operators may set, and how large a message may be.
type Policy struct {
	ProbeInterval      time.Duration // between two probes
	ProbeTimeout       time.Duration // for a direct answer
	IndirectProbes     int           // members asked to probe for this one
	SuspicionFactor    float64       // least time of suspicion, in probes times the logarithm of the members
	MaxSuspicionFactor float64       // longest time, as a multiple of that
	ForgetAfter        time.Duration // dead and left members are remembered
	SyncInterval       time.Duration // between two exchanges of all that is known
	MaxDatagramBytes   int
	MaxMembers         int  // members remembered at most
	WithoutLifeguard   bool // without Lifeguard, for comparison
	Seed               uint64
}

// Packet is a message to be sent.
type Packet struct {
	To   netip.AddrPort
	Data []byte
}

// Change is one member's new state.
type Change struct {
	Member        Member
	PreviousState State
	New           bool // it was not known before
}

const (
	mostLate  = 3   // how late an observer may find itself; more would make detection slower than duties can wait
	repeatLog = 3.0 // a piece of news is carried so many times the logarithm of the members
	agreeing  = 3   // members whose agreement makes a suspicion as short as it gets
	burst     = 128 // messages that tell a new one of everybody
	mostNews  = 512
	nackAt    = 0.8 // of the timeout
)

// Counts are what operators see.
type Counts struct {
	Probes                uint64 `json:"Probes"`
	FailedProbes          uint64 `json:"Missed"`
	Suspicions            uint64 `json:"Suspected"`
	DeclaredDead          uint64 `json:"Buried"`
	Refutations           uint64 `json:"Refuted"`
	DatagramsSent         uint64 `json:"Sent"`
	DatagramsReceived     uint64 `json:"Heard"`
	MalformedDatagrams    uint64 `json:"Bad"`
	LocalHealthMultiplier int    `json:"Late"`
}

// Detector is one broker's view.
type Detector struct {
	policy  Policy
	self    Member
	all     map[ID]*known
	ids     []ID // of all, sorted: the map's order is not the same in two runs
	living  int  // of them
	doubted int  // of them
	swept   time.Duration
	order   []ID // to be probed, in an order drawn anew with each round
	at      int
	next    time.Duration // probe
	synced  time.Duration
	spread  time.Duration // when news was last told beside the probes
	revived time.Duration // when a dead one was last asked
	cursor  int
	probing probe
	relays  []relay
	news    []news
	wants   []ID
	out     []Packet
	changes []Change
	notes   [][]byte
	seq     uint32
	late    int
	rnd     uint64
	last    time.Duration // when it was last called
	heard   time.Duration // when another member was last heard
	left    bool
	seeds   []netip.AddrPort
	seedAt  time.Duration
	Counts  Counts
}

// New makes the view of a broker that knows nobody yet; it asks the seeds until one answers.
func New(p Policy, name string, addr netip.AddrPort, weight uint8, inc uint32, seeds []netip.AddrPort) *Detector {
	m := &Detector{policy: p, self: Member{ID: IDOf(name), Name: name, Address: addr, Incarnation: inc, Weight: weight}, all: map[ID]*known{},
		rnd: p.Seed | 1, seeds: seeds, heard: math.MinInt64 / 2}
	m.announce()
	return m
}

// Self is the broker's own entry.
func (m *Detector) Self() Member { return m.self }

// Members are the members that are remembered, the broker itself included, by name.
func (m *Detector) Members() []Member {
	all := []Member{m.self}
	for _, k := range m.all {
		all = append(all, k.Member)
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// LivingCount counts the members that are not dead and have not left, the broker itself included.
func (m *Detector) LivingCount() int { return 1 + m.living }

// LastContact tells when another member was last heard.
func (m *Detector) LastContact() time.Duration { return m.heard }

func (m *Detector) draw() float64 {
	m.rnd ^= m.rnd << 13
	m.rnd ^= m.rnd >> 7
	m.rnd ^= m.rnd << 17
	return float64(m.rnd>>11) / (1 << 53)
}

// DrainPackets returns what is to be sent.
func (m *Detector) DrainPackets() []Packet {
	out := m.out
	m.out = nil
	return out
}

// DrainChanges returns what has changed.
func (m *Detector) DrainChanges() []Change {
	c := m.changes
	m.changes = nil
	return c
}

// DrainBroadcasts returns what others broadcast.
func (m *Detector) DrainBroadcasts() [][]byte {
	n := m.notes
	m.notes = nil
	return n
}
