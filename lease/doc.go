// Package lease prevents a task from running in two places at the same time,
// although workers and their owner (the leader of their data centre) pause and
// restart, and the network loses, duplicates, delays and reorders messages. It does
// no input or output, reads no clock and starts no goroutine.
//
// There is one lease per worker. Clocks aren't synchronised: every time.Duration
// named now is a reading of the caller's own monotonic clock, which has an arbitrary
// origin and never goes back. That clock must continue to run while the process is
// suspended.
//
// # The owner
//
// The leader of a data centre keeps a [Table] of leases and, for each worker, an
// [Outbox] of numbered commands. It must renew a lease only while no other leader can
// commit decisions, and must verify this after it has received the renewal.
//
// # The worker
//
// The worker keeps a [Holder], which records until when its lease lasts, and a
// [Guard], which decides on every command. The worker must do the following:
//
//   - Count the lease from when the worker sent the renewal, and call [Holder.Valid]
//     before every step of a task and before every command.
//   - Stop all tasks at [Holder.ExpiresAt].
//   - When the lease has expired, or the owner reports that it has ended, stop
//     all tasks and then take a higher incarnation: [Holder.Reset] and
//     [Guard.Restart].
//   - In a new process, take a higher incarnation than every earlier process, and
//     announce it only when no task of an earlier process runs any more.
//
// # Why no attempt runs twice
//
// Let a renewal be sent at s on the worker's clock and received at r on the
// owner's; the event s is before the event r. The lease granted for this renewal ends
// at s+ttl for the worker and at r+ttl+drift for the owner. While the worker's clock
// loses less than drift against the owner's over ttl+drift, the lease ends for the worker
// first, however late the response arrives. A new leader has not seen the renewals
// that the previous leader received. But the previous leader renewed leases only
// while it could still commit decisions, which was before the new leader began. So
// ttl+drift after the new leader's start every lease of the previous leader has ended.
//
// Once [Table.Fenced] is true for an incarnation, the worker has therefore stopped
// the tasks of the incarnation and refuses its commands: the lease has expired and
// the worker takes a higher incarnation, or has already announced one. An attempt
// always belongs to the incarnation for which it was committed. Running the task
// on another incarnation is another attempt.
//
// The commands of one (incarnation, term) are numbered from 1 without gaps and
// processed in that order, so a copy of a processed command is recognised by its
// number alone. Numbers don't reveal a start that was issued twice, under two
// numbers or by two leaders; [Guard] records attempts to detect it, until
// [Guard.Acknowledge] permits dropping the record.
package lease
