package slots

import (
	"math/rand/v2"
	"slices"
	"time"

	"monsoonhub.example/steer"
)

// Times and bounds of the rules in section 6 of docs/design.md.
const (
	LeaseTerm         = 12 * time.Second                               // Term of the store lease that covers the slots.
	maxReportAge      = 2 * time.Second                                // Greatest age of a report that counts for rule (b).
	takeoverWait      = 2*time.Second + 120*time.Millisecond           // Age of a report plus a margin for clock drift.
	restoredStoreWait = LeaseTerm + LeaseTerm/20 + 20*time.Millisecond // Lease term plus a margin for clock drift.
	extraSlotDelay    = 10 * time.Second                               // Vacancy before the host with fewest slots takes it.
	anyHostDelay      = 3 * extraSlotDelay                             // Vacancy before any host takes it.
	handoverDelay     = time.Second                                    // Time without a slot before a member is given one.
	handoverInterval  = 5 * time.Second                                // Between two handovers by one host.
	retryInterval     = time.Second                                    // Nominal interval between attempts, before jitter.
	maxStartJitter    = 500 * time.Millisecond                         // Bounds the random delay of the first attempt.
	memberTimeout     = 10 * time.Second                               // Silence after which a member is removed.
	maxSlots          = 1 << 16                                        // Bounds slot numbers, also those from peers.
)

// callKind is a kind of store call.
type callKind uint8

const (
	callNone callKind = iota
	callGrant
	callRenew
	callCheck   // Read the marker held/<dc>/<n>.
	callMark    // Create the marker.
	callRead    // Read the record slot/<dc>/<n>.
	callRaise   // Raise the generation in the record.
	callUnmark  // Remove the marker.
	callRelease // Mark the record as released.
	callRevoke
)

// call is a store call that the machine asks the keeper to make.
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
	sent     time.Time // Time just before the call was sent.
	entry    steer.Entry
	revision uint64
	lease    steer.LeaseID
	err      error
}

// phase is the state of one slot at this host.
type phase uint8

const (
	idle       phase = iota // Vacant or held by another host.
	checking                // Reading the marker.
	marking                 // Creating the marker.
	reading                 // Reading the record.
	raising                 // Raising the generation.
	announcing              // Waiting for the answers of members and of the previous holder.
	held
	releasing // Waiting for loans to end, then removing the marker.
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
	Released   bool   `json:"released"` // Released by a planned stop, after all work of the host had ended.
}

// marker is the value of held/<dc>/<n>.
type marker struct {
	owner
	Lease steer.LeaseID `json:"lease"`
}

// slot is the state of one slot at this host.
type slot struct {
	number           int
	phase            phase
	generation       uint64    // Last generation of this host, kept after the slot is lost; 0 if it never had one.
	proposed         uint64    // Generation written by the last attempt to raise it.
	knownGeneration  uint64    // Highest generation known from any host or from the store.
	claimant         owner     // Process that claims knownGeneration.
	recordRevision   uint64    // Revision of the slot's record in the store.
	markerRevision   uint64    // Revision of this host's marker in the store.
	claimed          bool      // Another member claims the slot.
	vacantSince      time.Time // Time from which the slot has been vacant.
	retryAt          time.Time // The slot is not tried again before this.
	markerVerified   bool      // The marker was read back before its removal.
	retake           bool      // Lost with the lease; taken back at once.
	previousOwner    owner
	released         bool                     // The previous owner gave the slot back in a planned stop.
	restored         bool                     // The store went back to an older copy.
	takeoverTime     time.Time                // When the slot became held without a planned release; zero otherwise.
	announced        map[string]announceState // By member id.
	previousAnswered bool                     // The previous holder answered, or there is none to wait for.
	waitUntil        time.Time                // End of the wait for answers; for a releasing slot, of the loans.
	loansUntil       time.Time                // End of the loans that members reported in their answers.
	raisedAt         time.Time                // When this host raised the generation.
}

// announceState is the progress of the slot-taken message to one member.
type announceState uint8

const (
	announceDue announceState = iota
	announceSent
	announceAnswered
)

// observation is the input of machine.observe.
type observation struct {
	configuredSlots   int // Slots of the data centre; 0 without a configuration.
	members           []steer.Member
	otherCallsSucceed bool          // Store calls of the host outside this package succeed.
	remainingLoanTime time.Duration // Until the last loan lent by this host ends.
	evidenceTime      time.Time     // The configuration in force was the newest as of this time.
}

// announcement is a slot-taken message to send.
type announcement struct {
	to         string
	slot       int
	generation uint64
}

// machine decides which slots to take, hold and release. It turns events into store calls and messages. It does no
// input or output and reads no clock; callers pass the time.
type machine struct {
	self                owner
	dataCentre          string
	random              *rand.Rand
	lease               steer.LeaseID
	leaseEnd            time.Time // Counted from when the last successful grant or renewal was sent.
	renewAt             time.Time // The lease is not renewed before this.
	retryAt             time.Time // No call other than a renewal is made before this.
	slots               map[int]*slot
	order               []int     // Keys of slots in ascending order.
	slotCount           int       // Slots of the data centre.
	busy                bool      // A store call is in flight.
	storeReachable      bool      // The last store call of the keeper was answered.
	otherCallsSucceeded bool      // See observation.
	reportsUntil        time.Time // Rule (b) lets the host spend until this time.
	slotlessSince       time.Time // Time from which some member has had no slot; zero if all have one.
	nextHandover        time.Time // No handover starts before this.
	stopping            bool
	localMembers        []steer.Member // Other members of the data centre, reused by each observation to save allocations.
	observedAt          time.Time      // Time of the last observation.
	membershipSettledAt time.Time      // The member table may be incomplete before this, so rule (b) does not hold.
	evidenceTime        time.Time      // See observation.
}

func newMachine(self owner, dataCentre string, random *rand.Rand, now time.Time) *machine {
	m := &machine{
		self:       self,
		dataCentre: dataCentre,
		random:     random,
		slots:      map[int]*slot{},
		observedAt: now,
	}
	m.retryAt = now.Add(m.jitter(maxStartJitter))
	return m
}

// jitter returns a random duration below d.
func (m *machine) jitter(d time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(d)))
}

// slotAt returns the slot with the given number and creates it if there is none.
func (m *machine) slotAt(number int, now time.Time) *slot {
	s, ok := m.slots[number]
	if !ok {
		s = &slot{
			number:      number,
			vacantSince: now,
		}
		m.slots[number] = s
		index, _ := slices.BinarySearch(m.order, number)
		m.order = slices.Insert(m.order, index, number)
	}
	return s
}

// eachSlot calls visit for each slot in ascending order.
func (m *machine) eachSlot(visit func(*slot)) {
	for _, n := range m.order {
		visit(m.slots[n])
	}
}

// usableUntil returns the time until which quota may be spent, or the zero time if it may not be spent.
func (m *machine) usableUntil() time.Time {
	isHeld := func(n int) bool { return m.slots[n].phase == held }
	if m.stopping || !slices.ContainsFunc(m.order, isHeld) {
		return time.Time{}
	}
	if m.lease != "" && m.leaseEnd.After(m.reportsUntil) {
		return m.leaseEnd
	}
	return m.reportsUntil
}

// ownedSlot is a claim of this host on a slot.
type ownedSlot struct {
	steer.SlotClaim
	settled      bool      // No other host may spend on the slot any longer.
	takeoverTime time.Time // See slot.
}

// appendOwned appends the claims to list in ascending order of the slots.
func (m *machine) appendOwned(list []ownedSlot) []ownedSlot {
	for _, n := range m.order {
		s := m.slots[n]
		if s.phase != announcing && s.phase != held {
			continue
		}
		list = append(list, ownedSlot{
			SlotClaim: steer.SlotClaim{
				Slot:       s.number,
				Generation: s.generation,
			},
			settled:      s.phase == held,
			takeoverTime: s.takeoverTime,
		})
	}
	return list
}
