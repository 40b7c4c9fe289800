// Package quota splits the limits of customers over data centres, so that each
// data centre can decide on its own, also while it is partitioned from the
// others, and all of them together never allow a customer more than its limit.
// It does no input or output, reads no clock and starts no goroutine.
//
// # Slots
//
// The units of a limit (thousandths of a core, MiB, accelerators) are assigned
// to [Slots] slots: unit u, counted from 0, belongs to slot u mod Slots. Each
// slot has at most one owner. A data centre's allotment is the number of units
// below the limit that belong to its slots. At first the slots are divided among n
// data centres, the initial owners, each of which owns every n-th slot; afterwards
// only transfers change the owner of a slot.
//
// Guarantees:
//
//  1. At one configuration version the allotments of all data centres are never
//     negative, and their sum is the limit minus the units in flight in
//     transfers. At first the sum is exactly the limit.
//  2. While versions differ, the sum is at most the highest limit in force
//     anywhere: every allotted unit is below that limit and belongs to one slot,
//     which belongs to one data centre.
//  3. A lowered limit needs no agreement and never makes an allotment negative,
//     whatever has been transferred, and versions may be skipped: an allotment
//     depends only on the owned slots and the limit in force.
//
// Work that started under an earlier, higher allotment continues; a limit only
// restricts starts. Only a new generation (see [Config]) divides the slots among
// initial owners again. While some data centres have the new generation and others
// don't, the sum is at most the limits of both generations together.
//
// # Transfers
//
// Between two data centres there is at most one transfer in each direction at a time. The
// donor commits it with [Ledger.Debit], which removes the slots from the donor and gives
// the transfer the next sequence number of that pair; the recipient commits it with
// [Ledger.Credit], which accepts only the transfer with the next sequence number; the
// donor commits the acknowledgement with [Ledger.Acknowledge]. A slot thus belongs to the
// donor, to the transfer in flight, or to the recipient, and the sequence numbers reveal
// messages that were lost, duplicated, delayed or reordered. The state for each other
// data centre is one sequence number in each direction and at most one outgoing transfer.
//
// A data centre whose state was lost entirely must not return under the same
// generation: it would own its initial slots again.
package quota
