package quota

import (
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/bilberryferry/bilberryferry/codec"
	"github.com/bilberryferry/bilberryferry/placement"
)

// Errors of Debit and Credit. These two methods return no other errors.
var (
	// ErrNoSpare: the donor can't spare a slot for any demand of the request.
	ErrNoSpare = errors.New("quota: no spare units for the request")
	// ErrStale: the request was sent before its sender credited the last
	// transfer. Ledger.Outgoing returns that transfer if it is not
	// acknowledged.
	ErrStale = errors.New("quota: request is older than the last transfer")
	// ErrDuplicate: the transfer was credited before; acknowledge it again.
	ErrDuplicate = errors.New("quota: transfer was credited before")
	// ErrSequenceGap: a sequence number is missing, so one side has lost its
	// state. An operator must start a new generation.
	ErrSequenceGap = errors.New("quota: transfer is not the next in sequence")
	// ErrOverlap: the transfer has a slot that is already owned, because two data centres
	// disagree on the initial owners or one has lost its state. An operator must start a new
	// generation.
	ErrOverlap = errors.New("quota: transfer has a slot that is already owned")
	// ErrOtherGeneration: the request or transfer isn't of the generation in force in
	// this data centre. A message of a newer generation can be processed once its
	// configuration has arrived; a message of an older generation is invalid.
	ErrOtherGeneration = errors.New("quota: message is of another generation")
	// ErrWrongDataCentre: the request or transfer is for another data centre, or names
	// this data centre as its sender.
	ErrWrongDataCentre = errors.New("quota: message is for another data centre")
)

// Demand is a data centre's shortfall for one customer.
type Demand struct {
	Customer string `cbor:"1,keyasint"`
	// Amount is what waiting work needs beyond the allotment.
	Amount placement.Resources `cbor:"2,keyasint"`
}

// TransferRequest asks another data centre for some of its slots and
// acknowledges the transfers credited from it. Without demands it only
// acknowledges.
type TransferRequest struct {
	From string `cbor:"1,keyasint"`
	To   string `cbor:"2,keyasint"`
	// LastReceived is the highest sequence number credited from To.
	LastReceived uint64   `cbor:"3,keyasint,omitempty"`
	Generation   uint64   `cbor:"4,keyasint,omitempty"`
	Demands      []Demand `cbor:"5,keyasint,omitempty"`
}

// DebitCommand is the replicated command by which a donor decides on a request.
// It carries the reserved units, which only the leader knows.
type DebitCommand struct {
	Request TransferRequest `cbor:"1,keyasint"`
	// Reserve has, for each demand of the request, the units that must stay
	// with the donor.
	Reserve []placement.Resources `cbor:"2,keyasint,omitempty"`
}

// CustomerSlots is the part of a transfer for one customer.
type CustomerSlots struct {
	Customer     string  `cbor:"1,keyasint"`
	CPU          SlotSet `cbor:"2,keyasint"`
	Memory       SlotSet `cbor:"3,keyasint"`
	Accelerators SlotSet `cbor:"4,keyasint"`
}

// Transfer moves slots from one data centre to another.
type Transfer struct {
	From string `cbor:"1,keyasint"`
	To   string `cbor:"2,keyasint"`
	// Sequence is the number of the transfer, counted from 1 in each generation among the
	// transfers between the two data centres in this direction.
	Sequence   uint64          `cbor:"3,keyasint"`
	Generation uint64          `cbor:"4,keyasint,omitempty"`
	Customers  []CustomerSlots `cbor:"5,keyasint"`
}

// ownedSlots are the slots of one customer's limit that a data centre owns.
type ownedSlots struct {
	CPU          SlotSet `cbor:"1,keyasint"`
	Memory       SlotSet `cbor:"2,keyasint"`
	Accelerators SlotSet `cbor:"3,keyasint"`
}

// state is the serialised form of a Ledger.
type state struct {
	Self   string `cbor:"1,keyasint"`
	Config Config `cbor:"2,keyasint"`
	// Owned has the slots of each customer whose slots were changed by a transfer. The
	// entry of a customer that leaves the configuration stays, because the customer may
	// return.
	Owned map[string]*ownedSlots `cbor:"3,keyasint,omitempty"`
	// LastSent has the sequence number of the last transfer sent to each data centre, and
	// LastReceived that of the last transfer credited from each data centre.
	LastSent     map[string]uint64 `cbor:"4,keyasint,omitempty"`
	LastReceived map[string]uint64 `cbor:"5,keyasint,omitempty"`
	// Outgoing has the unacknowledged transfers, at most one per recipient.
	Outgoing map[string]Transfer `cbor:"6,keyasint,omitempty"`
}

// Ledger records the slots of one data centre. It is part of the data centre's
// replicated state: Configure, Debit, Credit and Acknowledge run when a command
// is applied and have the same result on every replica; the other methods change
// nothing. It is not safe for concurrent use.
type Ledger struct {
	state state
	// allotments is derived from state. It is cached because every placement
	// reads it.
	allotments map[string]placement.Resources
}

// NewLedger returns the ledger of a data centre. It allots nothing until
// Configure.
func NewLedger(self string) *Ledger {
	l := &Ledger{}
	l.state.Self = self
	l.initMaps()
	return l
}

// initMaps creates the maps that are nil, because a snapshot omits empty maps.
func (l *Ledger) initMaps() {
	if l.state.Owned == nil {
		l.state.Owned = map[string]*ownedSlots{}
	}
	if l.state.LastSent == nil {
		l.state.LastSent = map[string]uint64{}
	}
	if l.state.LastReceived == nil {
		l.state.LastReceived = map[string]uint64{}
	}
	if l.state.Outgoing == nil {
		l.state.Outgoing = map[string]Transfer{}
	}
}

// Configure puts a configuration in force. Versions may be skipped. It returns the errors
// of Config.Check, after which nothing has changed. Configuring the version in force
// again changes nothing and is no error. The ledger keeps the maps of c, which the caller
// must not change.
func (l *Ledger) Configure(c Config) error {
	if err := l.state.Config.Check(c); err != nil {
		return err
	}
	if c.Version == l.state.Config.Version {
		return nil
	}
	if c.Generation != l.state.Config.Generation {
		// Requests and transfers of the old generation are refused from now
		// on, so its ownership and sequence numbers are dropped.
		l.state = state{Self: l.state.Self}
		l.initMaps()
	}
	l.state.Config = c
	// The result must not depend on the order of the initial owners.
	l.state.Config.InitialOwners = slices.Sorted(slices.Values(c.InitialOwners))
	l.refresh()
	return nil
}

// Version returns the configuration version in force, or 0 if there is none.
func (l *Ledger) Version() uint64 {
	return l.state.Config.Version
}

// Limit returns a customer's limit over all data centres.
func (l *Ledger) Limit(customer string) placement.Resources {
	return l.state.Config.Limits[customer]
}

// Allotment returns how much a customer may use in this data centre. Fields
// without a limit are Unlimited. A customer that isn't configured may use nothing.
func (l *Ledger) Allotment(customer string) placement.Resources {
	return l.allotments[customer]
}

// refresh recomputes the allotments of all customers.
func (l *Ledger) refresh() {
	l.allotments = make(map[string]placement.Resources, len(l.state.Config.Limits))
	for customer := range l.state.Config.Limits {
		l.refreshCustomer(customer)
	}
}

// refreshCustomer recomputes the allotment of a customer. It does nothing for a
// customer that isn't configured.
func (l *Ledger) refreshCustomer(customer string) {
	limit, known := l.state.Config.Limits[customer]
	if !known {
		return
	}
	slots := l.owned(customer)
	l.allotments[customer] = placement.Resources{
		CPU:          allotted(&slots.CPU, limit.CPU),
		Memory:       allotted(&slots.Memory, limit.Memory),
		Accelerators: allotted(&slots.Accelerators, limit.Accelerators),
	}
}

// allotted returns the units of a limit that belong to the slots s, or Unlimited.
func allotted(s *SlotSet, limit int64) int64 {
	if limit == Unlimited {
		return Unlimited
	}
	units := s.units(limit)
	invariant(units >= 0 && units <= limit, "allotment of %d units is outside 0 to the limit of %d", units, limit)
	return units
}

// owned returns the slots of a customer that this data centre owns: those after the
// transfers so far, or the initial slots if there were no transfers.
func (l *Ledger) owned(customer string) ownedSlots {
	if slots := l.state.Owned[customer]; slots != nil {
		return *slots
	}
	for i, name := range l.state.Config.InitialOwners {
		if name == l.state.Self {
			first := initialSlots(i, len(l.state.Config.InitialOwners))
			return ownedSlots{CPU: first, Memory: first, Accelerators: first}
		}
	}
	return ownedSlots{}
}

// Debit commits a transfer in response to a request. It transfers as much of the demand
// as it can without lowering an allotment below the reserve or below used(customer), the
// usage in the replicated state. Outgoing returns the transfer until it is acknowledged.
// The errors are ErrNoSpare, ErrStale, ErrSequenceGap, ErrOtherGeneration and
// ErrWrongDataCentre.
//
// Guards against debiting twice for a duplicated or delayed request. A request is
// accepted only if its sender had credited every transfer sent to it so far, so the
// transfer that is made for a request makes all duplicates of the request stale.
func (l *Ledger) Debit(command DebitCommand, used func(customer string) placement.Resources) (Transfer, error) {
	request := command.Request
	if err := l.checkRequest(request); err != nil {
		return Transfer{}, err
	}
	l.Acknowledge(request)
	if request.LastReceived < l.state.LastSent[request.From] {
		return Transfer{}, ErrStale
	}
	customers := l.debitAll(command, used)
	if len(customers) == 0 {
		return Transfer{}, ErrNoSpare
	}
	l.state.LastSent[request.From]++
	t := Transfer{
		From: l.state.Self, To: request.From,
		Sequence: l.state.LastSent[request.From], Generation: l.state.Config.Generation, Customers: customers,
	}
	l.state.Outgoing[request.From] = t
	return t, nil
}

// checkRequest returns ErrWrongDataCentre, ErrOtherGeneration, or ErrSequenceGap if the
// sender has credited a transfer that this ledger never sent.
func (l *Ledger) checkRequest(request TransferRequest) error {
	if request.To != l.state.Self || request.From == l.state.Self {
		return ErrWrongDataCentre
	}
	if request.Generation != l.state.Config.Generation {
		return ErrOtherGeneration
	}
	if request.LastReceived > l.state.LastSent[request.From] {
		return ErrSequenceGap
	}
	return nil
}

// debitAll removes the slots for all demands of a request from the owned slots and
// returns the removed slots.
func (l *Ledger) debitAll(command DebitCommand, used func(customer string) placement.Resources) []CustomerSlots {
	var customers []CustomerSlots
	for i, demand := range command.Request.Demands {
		reserve := used(demand.Customer)
		if i < len(command.Reserve) {
			reserve = maxResources(reserve, command.Reserve[i])
		}
		if slots, ok := l.debitCustomer(demand, reserve); ok {
			customers = append(customers, slots)
		}
	}
	return customers
}

// maxResources returns the maximum of each field.
func maxResources(a, b placement.Resources) placement.Resources {
	return placement.Resources{
		CPU:          max(a.CPU, b.CPU),
		Memory:       max(a.Memory, b.Memory),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

// debitCustomer removes slots of one customer from the owned slots: as many as are
// demanded and can be spared. It returns false if that is no slot.
func (l *Ledger) debitCustomer(demand Demand, reserve placement.Resources) (CustomerSlots, bool) {
	limit := l.Limit(demand.Customer)
	allotment := l.Allotment(demand.Customer)
	slots := l.owned(demand.Customer)
	debited := CustomerSlots{
		Customer:     demand.Customer,
		CPU:          slots.CPU.selectUnits(limit.CPU, demand.Amount.CPU, allotment.CPU-reserve.CPU),
		Memory:       slots.Memory.selectUnits(limit.Memory, demand.Amount.Memory, allotment.Memory-reserve.Memory),
		Accelerators: slots.Accelerators.selectUnits(limit.Accelerators, demand.Amount.Accelerators, allotment.Accelerators-reserve.Accelerators),
	}
	if debited.empty() {
		return CustomerSlots{}, false
	}
	slots.CPU.remove(debited.CPU)
	slots.Memory.remove(debited.Memory)
	slots.Accelerators.remove(debited.Accelerators)
	l.state.Owned[demand.Customer] = &slots
	l.refreshCustomer(demand.Customer)
	return debited, true
}

// empty reports whether s has no slot of any resource.
func (s *CustomerSlots) empty() bool {
	return s.CPU == SlotSet{} && s.Memory == SlotSet{} && s.Accelerators == SlotSet{}
}

// Credit commits a received transfer. If it returns nil or ErrDuplicate, the caller
// sends an acknowledgement. On an error nothing has changed. The errors are
// ErrWrongDataCentre, ErrOtherGeneration, ErrDuplicate, ErrSequenceGap and ErrOverlap.
//
// Guards against crediting a duplicated transfer twice, which would give a
// customer more than its limit. Only the sequence number after the last credited
// one is credited, and only in its own generation, because the slots of an
// earlier generation have been allocated again.
func (l *Ledger) Credit(t Transfer) error {
	if t.To != l.state.Self || t.From == l.state.Self {
		return ErrWrongDataCentre
	}
	if t.Generation != l.state.Config.Generation {
		return ErrOtherGeneration
	}
	last := l.state.LastReceived[t.From]
	if t.Sequence <= last {
		return ErrDuplicate
	}
	if t.Sequence != last+1 {
		return ErrSequenceGap
	}
	credited, ok := l.creditAll(t.Customers)
	if !ok {
		return ErrOverlap
	}
	l.state.LastReceived[t.From] = t.Sequence
	for customer, slots := range credited {
		l.state.Owned[customer] = slots
		l.refreshCustomer(customer)
	}
	return nil
}

// creditAll returns the slots of each customer of a transfer that the data centre owns once the transfer is
// credited. It returns false if one of the transferred slots is owned already.
func (l *Ledger) creditAll(customers []CustomerSlots) (map[string]*ownedSlots, bool) {
	credited := map[string]*ownedSlots{}
	for _, transferred := range customers {
		slots := credited[transferred.Customer]
		if slots == nil {
			owned := l.owned(transferred.Customer)
			slots = &owned
			credited[transferred.Customer] = slots
		}
		if !slots.credit(transferred) {
			return nil, false
		}
	}
	return credited, true
}

// credit adds transferred slots. It returns false if one of them is owned already.
func (s *ownedSlots) credit(t CustomerSlots) bool {
	if s.CPU.overlaps(t.CPU) || s.Memory.overlaps(t.Memory) || s.Accelerators.overlaps(t.Accelerators) {
		return false
	}
	s.CPU.addAll(t.CPU)
	s.Memory.addAll(t.Memory)
	s.Accelerators.addAll(t.Accelerators)
	return true
}

// Acknowledge commits the acknowledgement that every request carries: it drops the
// outgoing transfer to the sender if the sender has credited it. It ignores requests
// for another data centre or generation.
func (l *Ledger) Acknowledge(request TransferRequest) {
	if request.To != l.state.Self || request.Generation != l.state.Config.Generation {
		return
	}
	if out, found := l.state.Outgoing[request.From]; found && request.LastReceived >= out.Sequence {
		delete(l.state.Outgoing, request.From)
	}
}

// Outgoing returns the unacknowledged transfer to a data centre, if there is one.
func (l *Ledger) Outgoing(to string) (Transfer, bool) {
	t, found := l.state.Outgoing[to]
	return t, found
}

// Request returns a request that acknowledges all credited transfers.
func (l *Ledger) Request(to string, demands ...Demand) TransferRequest {
	return TransferRequest{
		From: l.state.Self, To: to,
		LastReceived: l.state.LastReceived[to], Generation: l.state.Config.Generation, Demands: demands,
	}
}

// MarshalBinary returns the state for a snapshot. Equal states have equal bytes.
func (l *Ledger) MarshalBinary() ([]byte, error) {
	return encoding.Marshal(l.state)
}

// UnmarshalBinary replaces the state by that of a snapshot. On an error nothing has
// changed.
func (l *Ledger) UnmarshalBinary(data []byte) error {
	var s state
	if err := codec.Unmarshal(data, &s); err != nil {
		return errors.Wrap(err, "quota: decoding the ledger's snapshot")
	}
	l.state = s
	l.initMaps()
	l.refresh()
	return nil
}

// encoding is the CBOR mode of snapshots. It sorts map keys, so that equal states have
// equal bytes.
var encoding = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	invariant(err == nil, "invalid CBOR options: %v", err)
	return mode
}()

// invariant panics if holds is false. If the condition is broken, a customer could get
// more than its limit.
func invariant(holds bool, format string, args ...any) {
	if !holds {
		panic("quota: invariant broken: " + fmt.Sprintf(format, args...))
	}
}
