// Package lease prevents a task from running in two places at the same time,
// although workers, their owner and the network pause, restart, and lose,
// duplicate, delay and reorder messages. It does no input or output, reads no
// clock and starts no goroutine.
//
// There is one lease per worker. Clocks aren't synchronised: every time.Duration
// named now is counted on the caller's own monotonic clock, from any origin, and
// never goes back. That clock must continue while the process is stopped.
//
// # The owner
//
// The leader of a data centre keeps a [Table] of leases and, for each worker, an
// [Outbox] of numbered commands. It must renew a lease only while it may decide,
// and must verify that after it has received the renewal.
//
// # The worker
//
// The worker keeps a [Holder], which records until when its lease lasts, and a
// [Guard], which decides on every command. The worker must do the following:
//
//   - Count the lease from when it sent the renewal, and call [Holder.Valid]
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
// owner's; the event s is before the event r. The worker's lease by it ends at
// s+ttl, and the owner counts until r+ttl+drift. While the worker's clock loses
// less than drift against the owner's over ttl+drift, the worker's lease ends
// first, however late the answer arrives. A new leader has not seen the renewals
// that the previous leader received. But the previous leader renewed only what
// it received while it could still decide, thus before the new leader began, so
// ttl+drift from then on outlasts every lease of the previous leader.
//
// So once [Table.Fenced] holds for an incarnation, the worker has stopped its
// tasks and will refuse the incarnation's commands: its lease has expired and it
// takes a higher incarnation, or it has announced a higher one. An attempt
// always belongs to the incarnation for which it was committed. Running the task
// on another incarnation is another attempt.
//
// The commands of one (incarnation, term) are numbered from 1 without gaps and
// processed in that order, so a copy of a processed command is recognised by its
// number alone. A number can't identify a start that was issued twice, under two
// numbers or by two leaders; [Guard] records attempts for that purpose, and
// [Guard.Acknowledge] says for how long.
package lease
