package slots

import (
	"math/rand/v2"
	"slices"
	"time"

	"monsoonhub.example/steer"
)

// Times of the rules in section 6 of the design.
const (
	LeaseTerm     = 12 * time.Second                               // Term of the lease.
	reportAge     = 2 * time.Second                                // Oldest report that counts in rule (b).
	takeoverWait  = 2*time.Second + 120*time.Millisecond           // Report age plus drift margin.
	restoreWait   = LeaseTerm + LeaseTerm/20 + 20*time.Millisecond // Lease term plus drift margin.
	extraAfter    = 10 * time.Second                               // Vacancy after which a host takes an extra slot.
	anyoneAfter   = 3 * extraAfter                                 // Vacancy after which any host tries.
	handoverAfter = time.Second                                    // Time that a host has been without a slot.
	handoverPause = 5 * time.Second                                // Between two handovers of one host.
	retryWait     = time.Second                                    // Between attempts, with jitter.
	startJitter   = 500 * time.Millisecond                         // Longest delay of the first attempt.
	memberAge     = 10 * time.Second                               // After which a silent member is removed.
	maxSlots      = 1 << 16                                        // Bounds slot numbers from peers.
)

// callKind is a kind of store call.
type callKind uint8

const (
	callNone callKind = iota
	callGrant
	callRenew
	callCheck  // Read the marker held/<dc>/<n>.
	callMark   // Create the marker.
	callRead   // Read the record slot/<dc>/<n>.
	callRaise  // Raise the generation in the record.
	callUnmark // Remove the marker.
	callFinish // Mark the record as released.
	callRevoke
)

// call is a store call that the machine wants made.
type call struct {
	kind     callKind
	slot     int
	key      string
	revision uint64
	value    []byte
	lease    steer.LeaseID
}

// result is the outcome of a call.
type result struct {
	sent     time.Time // When the call was about to be sent.
	entry    steer.Entry
	revision uint64
	lease    steer.LeaseID
	err      error
}

// phase is the state of one slot at this host.
type phase uint8

const (
	idle     phase = iota // Vacant or held by another host.
	checking              // Reading the marker.
	marking               // Creating the marker.
	reading               // Reading the record.
	raising               // Raising the generation.
	telling               // Waiting for members and the previous holder.
	held
	leaving // Waiting for loans, then removing the marker.
)

// owner is one process that holds or held a slot.
type owner struct {
	Holder      string `json:"holder"`
	Incarnation uint64 `json:"incarnation"`
}

// record is the value of slot/<dc>/<n>.
type record struct {
	owner
	Generation uint64 `json:"generation"`
	Released   bool   `json:"released"` // Given back by a planned stop, after all its work ended.
}

// marker is the value of held/<dc>/<n>.
type marker struct {
	owner
	Lease steer.LeaseID `json:"lease"`
}

// slot is what this host knows of one slot.
type slot struct {
	number     int
	phase      phase
	generation uint64 // Own generation, also after the slot was lost; 0 when never held.
	proposed   uint64 // Generation of the last raise sent.
	known      uint64 // Highest generation known from anyone.
	claimant   owner  // Who claims known.
	record     uint64 // Revision of the record.
	marker     uint64 // Revision of the own marker.
	claimed    bool   // Another member claims it.
	vacant     time.Time
	retry      time.Time
	sure       bool // The marker was read back before its removal.
	retake     bool // Lost with the lease; taken back at once.
	previous   owner
	planned    bool
	restored   bool // The store went back to an older copy.
	fresh      time.Time
	told       map[string]tellState // By member.
	acked      bool                 // The previous holder answered.
	wait       time.Time            // End of the wait for answers; for a leaving slot, of the loans.
	loans      time.Time
	raised     time.Time // When the own generation was raised.
}

// tellState is how far the slot-taken message to one member has got.
type tellState uint8

const (
	tellDue tellState = iota
	tellSent
	tellAnswered
)

// view is what the machine sees of its surroundings.
type view struct {
	slots     int // Slots of the data centre; 0 without a configuration.
	members   []steer.Member
	reachable bool // Other store calls of this host succeed.
	loans     time.Duration
	evidence  time.Time // Up to when the configuration in force is known to be the newest.
}

// tell is a slot-taken message to send.
type tell struct {
	to         string
	slot       int
	generation uint64
}

// machine is the decision logic: events in, actions out. It does no input or output and reads no clock.
type machine struct {
	self       owner
	dataCentre string
	random     *rand.Rand
	lease      steer.LeaseID
	ends       time.Time // End of the lease, counted from the sending of the last successful renewal.
	renew      time.Time
	retry      time.Time // No call other than a renewal before this.
	slots      map[int]*slot
	order      []int // Keys of slots, ascending.
	count      int   // Slots of the data centre.
	busy       bool
	reachable  bool      // The last own store call was answered.
	outside    bool      // Other store calls of this host succeed.
	byReports  time.Time // Until when rule (b) holds.
	slotless   time.Time // Since when a member has no slot.
	handover   time.Time // No handover before this.
	stopping   bool
	local      []steer.Member // Of the last observation; its memory is used again.
	observed   time.Time      // Last observation.
	settled    time.Time      // Rule (b) does not hold before this.
	evidence   time.Time      // See view.
}

func newMachine(self owner, dataCentre string, random *rand.Rand, now time.Time) *machine {
	m := &machine{
		self:       self,
		dataCentre: dataCentre,
		random:     random,
		slots:      map[int]*slot{},
		observed:   now,
	}
	m.retry = now.Add(m.jitter(startJitter))
	return m
}

// jitter returns a random duration below d.
func (m *machine) jitter(d time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(d)))
}

func (m *machine) at(number int, now time.Time) *slot {
	s, ok := m.slots[number]
	if !ok {
		s = &slot{
			number: number,
			vacant: now,
		}
		m.slots[number] = s
		at, _ := slices.BinarySearch(m.order, number)
		m.order = slices.Insert(m.order, at, number)
	}
	return s
}

// each visits the slots in ascending order.
func (m *machine) each(visit func(*slot)) {
	for _, n := range m.order {
		visit(m.slots[n])
	}
}

// usable returns the time until which quota may be spent; zero without one.
func (m *machine) usable() time.Time {
	holds := func(n int) bool { return m.slots[n].phase == held }
	if m.stopping || !slices.ContainsFunc(m.order, holds) {
		return time.Time{}
	}
	if m.lease != "" && m.ends.After(m.byReports) {
		return m.ends
	}
	return m.byReports
}

// owned is a claim that the machine makes.
type owned struct {
	steer.SlotClaim
	settled bool // No other host may spend on the slot any more.
	fresh   time.Time
}

// owned appends the claims to list, in the order of slots.
func (m *machine) owned(list []owned) []owned {
	for _, n := range m.order {
		s := m.slots[n]
		if s.phase != telling && s.phase != held {
			continue
		}
		list = append(list, owned{
			SlotClaim: steer.SlotClaim{
				Slot:       s.number,
				Generation: s.generation,
			},
			settled: s.phase == held,
			fresh:   s.fresh,
		})
	}
	return list
}
