package quota

import (
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/bilberryferry/bilberryferry/placement"
)

// Errors of Give and Take. The list is closed.
var (
	// ErrNoSpare: nothing that was asked for is spare.
	ErrNoSpare = errors.New("quota: nothing to give")
	// ErrStale: the ask was sent before the asker took the last transfer.
	// Ledger.Outgoing has that transfer when it may not have arrived.
	ErrStale = errors.New("quota: ask is older than the last transfer")
	// ErrDuplicate: the transfer was taken before; acknowledge it again.
	ErrDuplicate = errors.New("quota: transfer was taken before")
	// ErrSequenceGap: a sequence number is missing, so one side has lost its state. An
	// operator must start a new generation.
	ErrSequenceGap = errors.New("quota: transfer is not the next one")
	// ErrOtherGeneration: the message is of another generation than the one in force
	// here. A newer one can be taken once the configuration has arrived, an
	// older one is void.
	ErrOtherGeneration = errors.New("quota: message is of another generation")
	// ErrWrongDataCentre: the message is for another data centre.
	ErrWrongDataCentre = errors.New("quota: message is for another data centre")
)

// Want is what an asker lacks for one customer.
type Demand struct {
	Customer string `cbor:"1,keyasint"`
	// Need is what waiting work needs beyond the asker's allotment.
	Amount placement.Resources `cbor:"2,keyasint"`
}

// Ask asks a data centre for some of its allotments, and acknowledges the
// transfers taken from it. Without wants it is an acknowledgement alone.
type TransferRequest struct {
	From string `cbor:"1,keyasint"`
	To   string `cbor:"2,keyasint"`
	// Taken is the highest transfer taken from To.
	LastReceived uint64   `cbor:"3,keyasint,omitempty"`
	Generation   uint64   `cbor:"4,keyasint,omitempty"`
	Demands      []Demand `cbor:"5,keyasint,omitempty"`
}

// Answer is the command with which a giver decides on an ask. It carries the
// reserve that the leader found right, since the other replicas don't know it.
type DebitCommand struct {
	Request TransferRequest `cbor:"1,keyasint"`
	// Reserve is what to keep, for each want of the ask.
	Reserve []placement.Resources `cbor:"2,keyasint,omitempty"`
}

// Parcel is the part of a transfer for one customer.
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
	// Sequence counts the transfers of the pair from 1 in each generation.
	Sequence   uint64          `cbor:"3,keyasint"`
	Generation uint64          `cbor:"4,keyasint,omitempty"`
	Customers  []CustomerSlots `cbor:"5,keyasint"`
}

// holding is what one data centre owns of one customer's limit.
type ownedSlots struct {
	CPU          SlotSet `cbor:"1,keyasint"`
	Memory       SlotSet `cbor:"2,keyasint"`
	Accelerators SlotSet `cbor:"3,keyasint"`
}

// state is what a Ledger consists of, and its serialised form.
type state struct {
	Self   string `cbor:"1,keyasint"`
	Config Config `cbor:"2,keyasint"`
	// Held has the customers that transfers have touched. A customer keeps its
	// entry when it leaves the configuration, for it may come back.
	Owned map[string]*ownedSlots `cbor:"3,keyasint,omitempty"`
	// Given is the last sequence number given to each data centre, and Taken
	// the last one taken from it.
	LastSent     map[string]uint64 `cbor:"4,keyasint,omitempty"`
	LastReceived map[string]uint64 `cbor:"5,keyasint,omitempty"`
	// Outgoing has the transfers that are not acknowledged, one per receiver.
	Outgoing map[string]Transfer `cbor:"6,keyasint,omitempty"`
}

// Ledger is the state of one data centre. It belongs into that data centre's
// replicated state: Configure, Give, Take and Forget are called when a command
// is applied and give the same result on every replica; the other methods
// change nothing. It is not safe for concurrent use.
type Ledger struct {
	s state
	// allotments follows from s; it is kept because every placement looks at it.
	allotments map[string]placement.Resources
}

// NewLedger returns the ledger of a data centre that allots nothing until it is
// configured.
func NewLedger(self string) *Ledger {
	l := &Ledger{}
	l.s.Self = self
	l.initMaps()
	return l
}

// fill makes the maps that an empty snapshot leaves out.
func (l *Ledger) initMaps() {
	if l.s.Owned == nil {
		l.s.Owned = map[string]*ownedSlots{}
	}
	if l.s.LastSent == nil {
		l.s.LastSent = map[string]uint64{}
	}
	if l.s.LastReceived == nil {
		l.s.LastReceived = map[string]uint64{}
	}
	if l.s.Outgoing == nil {
		l.s.Outgoing = map[string]Transfer{}
	}
}

// Configure puts a configuration in force. Versions may be skipped. The error
// is one of Config.Check; then nothing is changed. The version in force is
// accepted again and changes nothing. The ledger keeps c's maps, which the
// caller must not change.
func (l *Ledger) Configure(c Config) error {
	if err := l.s.Config.Check(c); err != nil {
		return err
	}
	if c.Version == l.s.Config.Version {
		return nil
	}
	if c.Generation != l.s.Config.Generation {
		// Messages of the old generation are refused from here on, so that
		// nothing that was given or taken in it counts any more.
		l.s = state{Self: l.s.Self}
		l.initMaps()
	}
	l.s.Config = c
	// The order in which a data centre lists the founders must not matter.
	l.s.Config.InitialOwners = slices.Sorted(slices.Values(c.InitialOwners))
	l.refresh()
	return nil
}

// Version returns the configuration version in force; zero for none.
func (l *Ledger) Version() uint64 {
	return l.s.Config.Version
}

// Limit returns a customer's limit over all data centres.
func (l *Ledger) Limit(customer string) placement.Resources {
	return l.s.Config.Limits[customer]
}

// Allotment returns what this data centre may let a customer use. A field
// without limit is Unlimited.
func (l *Ledger) Allotment(customer string) placement.Resources {
	return l.allotments[customer]
}

// refresh computes the allotments of all customers.
func (l *Ledger) refresh() {
	l.allotments = make(map[string]placement.Resources, len(l.s.Config.Limits))
	for customer := range l.s.Config.Limits {
		l.refreshCustomer(customer)
	}
}

// refreshCustomer computes the allotment of a customer. One that has no limit is
// allotted nothing.
func (l *Ledger) refreshCustomer(customer string) {
	limit, known := l.s.Config.Limits[customer]
	if !known {
		return
	}
	h := l.owned(customer)
	l.allotments[customer] = placement.Resources{
		CPU:          allotted(&h.CPU, limit.CPU),
		Memory:       allotted(&h.Memory, limit.Memory),
		Accelerators: allotted(&h.Accelerators, limit.Accelerators),
	}
}

// allotted is one field of an allotment.
func allotted(s *SlotSet, limit int64) int64 {
	if limit == Unlimited {
		return Unlimited
	}
	units := s.units(limit)
	invariant(units >= 0 && units <= limit, "%d units are allotted of a limit of %d", units, limit)
	return units
}

// holding returns what is owned of a customer's limit: what transfers have
// left, or the first division where there were none.
func (l *Ledger) owned(customer string) ownedSlots {
	if h := l.s.Owned[customer]; h != nil {
		return *h
	}
	for i, name := range l.s.Config.InitialOwners {
		if name == l.s.Self {
			first := initialSlots(i, len(l.s.Config.InitialOwners))
			return ownedSlots{CPU: first, Memory: first, Accelerators: first}
		}
	}
	return ownedSlots{}
}

// Give commits a transfer that answers an ask, with what the ask wants as far
// as the allotment stays at the reserve and at used(customer), the usage in the
// replicated state at this moment. The transfer is sent until it is
// acknowledged.
//
// Failure guarded against: an ask is delivered twice, or late, and more is
// given away each time. An ask counts only if its asker had taken everything
// given to it so far; the transfer that answers it makes all copies stale.
func (l *Ledger) Debit(answer DebitCommand, used func(customer string) placement.Resources) (Transfer, error) {
	a := answer.Request
	if err := l.checkRequest(a); err != nil {
		return Transfer{}, err
	}
	l.Acknowledge(a)
	if a.LastReceived < l.s.LastSent[a.From] {
		return Transfer{}, ErrStale
	}
	customers := l.debitAll(answer, used)
	if len(customers) == 0 {
		return Transfer{}, ErrNoSpare
	}
	l.s.LastSent[a.From]++
	t := Transfer{
		From: l.s.Self, To: a.From,
		Sequence: l.s.LastSent[a.From], Generation: l.s.Config.Generation, Customers: customers,
	}
	l.s.Outgoing[a.From] = t
	return t, nil
}

// checkRequest refuses asks that can't be meant for this state.
func (l *Ledger) checkRequest(a TransferRequest) error {
	if a.To != l.s.Self || a.From == l.s.Self {
		return ErrWrongDataCentre
	}
	if a.Generation != l.s.Config.Generation {
		return ErrOtherGeneration
	}
	if a.LastReceived > l.s.LastSent[a.From] {
		return ErrSequenceGap
	}
	return nil
}

// parcels takes what an answer gives out of the holdings.
func (l *Ledger) debitAll(answer DebitCommand, used func(customer string) placement.Resources) []CustomerSlots {
	var customers []CustomerSlots
	for i, w := range answer.Request.Demands {
		keep := used(w.Customer)
		if i < len(answer.Reserve) {
			keep = maxResources(keep, answer.Reserve[i])
		}
		if p, some := l.debitCustomer(w, keep); some {
			customers = append(customers, p)
		}
	}
	return customers
}

// larger takes the larger of each field.
func maxResources(a, b placement.Resources) placement.Resources {
	return placement.Resources{
		CPU:          max(a.CPU, b.CPU),
		Memory:       max(a.Memory, b.Memory),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

// parcel takes what is wanted and spare out of a customer's holding.
func (l *Ledger) debitCustomer(w Demand, keep placement.Resources) (CustomerSlots, bool) {
	limit := l.Limit(w.Customer)
	has := l.Allotment(w.Customer)
	h := l.owned(w.Customer)
	p := CustomerSlots{
		Customer:     w.Customer,
		CPU:          h.CPU.selectUnits(limit.CPU, w.Amount.CPU, has.CPU-keep.CPU),
		Memory:       h.Memory.selectUnits(limit.Memory, w.Amount.Memory, has.Memory-keep.Memory),
		Accelerators: h.Accelerators.selectUnits(limit.Accelerators, w.Amount.Accelerators, has.Accelerators-keep.Accelerators),
	}
	if p.empty() {
		return CustomerSlots{}, false
	}
	h.CPU.remove(p.CPU)
	h.Memory.remove(p.Memory)
	h.Accelerators.remove(p.Accelerators)
	l.s.Owned[w.Customer] = &h
	l.refreshCustomer(w.Customer)
	return p, true
}

// empty says whether the parcel has no slot.
func (p *CustomerSlots) empty() bool {
	return p.CPU == SlotSet{} && p.Memory == SlotSet{} && p.Accelerators == SlotSet{}
}

// Take commits a received transfer. On nil and on ErrDuplicate the caller sends an
// acknowledgement. On other errors nothing has changed.
//
// Failure guarded against: a transfer is delivered twice and credited twice,
// so that a customer gets more than its limit. Only the sequence number after
// the last one taken is credited, and only in its own generation: slots of an
// earlier one have been divided anew.
func (l *Ledger) Credit(t Transfer) error {
	if t.To != l.s.Self || t.From == l.s.Self {
		return ErrWrongDataCentre
	}
	if t.Generation != l.s.Config.Generation {
		return ErrOtherGeneration
	}
	last := l.s.LastReceived[t.From]
	if t.Sequence <= last {
		return ErrDuplicate
	}
	if t.Sequence != last+1 {
		return ErrSequenceGap
	}
	l.s.LastReceived[t.From] = t.Sequence
	for _, p := range t.Customers {
		l.creditCustomer(p)
	}
	return nil
}

// credit puts a parcel into its customer's holding.
func (l *Ledger) creditCustomer(p CustomerSlots) {
	h := l.owned(p.Customer)
	twice := h.CPU.overlaps(p.CPU) || h.Memory.overlaps(p.Memory) || h.Accelerators.overlaps(p.Accelerators)
	invariant(!twice, "a slot of customer %s is owned twice", p.Customer)
	h.CPU.addAll(p.CPU)
	h.Memory.addAll(p.Memory)
	h.Accelerators.addAll(p.Accelerators)
	l.s.Owned[p.Customer] = &h
	l.refreshCustomer(p.Customer)
}

// Forget commits the acknowledgement that every ask carries.
func (l *Ledger) Acknowledge(a TransferRequest) {
	if a.To != l.s.Self || a.Generation != l.s.Config.Generation {
		return
	}
	if out, open := l.s.Outgoing[a.From]; open && a.LastReceived >= out.Sequence {
		delete(l.s.Outgoing, a.From)
	}
}

// Outgoing returns the transfer to a data centre that is not acknowledged.
func (l *Ledger) Outgoing(to string) (Transfer, bool) {
	t, open := l.s.Outgoing[to]
	return t, open
}

// Ask returns an ask with an up-to-date acknowledgement.
func (l *Ledger) Request(to string, wants ...Demand) TransferRequest {
	return TransferRequest{
		From: l.s.Self, To: to,
		LastReceived: l.s.LastReceived[to], Generation: l.s.Config.Generation, Demands: wants,
	}
}

// MarshalBinary gives the state for a snapshot, the same bytes for the same state.
func (l *Ledger) MarshalBinary() ([]byte, error) {
	return encoding.Marshal(l.s)
}

// UnmarshalBinary replaces the state by a snapshot's.
func (l *Ledger) UnmarshalBinary(data []byte) error {
	var s state
	if err := cbor.Unmarshal(data, &s); err != nil {
		return errors.Wrap(err, "quota: reading a ledger")
	}
	l.s = s
	l.initMaps()
	l.refresh()
	return nil
}

// encoding sorts map keys, so that equal states have equal bytes.
var encoding = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	invariant(err == nil, "the CBOR options are refused: %v", err)
	return mode
}()

// invariant panics when a condition that the package's proof rests on doesn't
// hold: going on could give a customer more than its limit.
func invariant(holds bool, format string, args ...any) {
	if !holds {
		panic("quota: invariant broken: " + fmt.Sprintf(format, args...))
	}
}
