package admission

import "time"

const (
	// maxReservations bounds the memory of reservations. It is about the number of jobs that arrive in
	// 3 s at ten times the usual rate.
	maxReservations = 4096
	// maxReservationTime is the longest retry time for which a job gets a reservation. Callers have a
	// total time limit of 3 s and don't retry after it. Reservations for jobs that don't come back
	// would leave room unused.
	maxReservationTime = 3 * time.Second
	// reservationGrace is how long a reservation holds after its retry time.
	reservationGrace = time.Second
	// expiryInterval is the shortest time between two searches for expired reservations.
	expiryInterval = 100 * time.Millisecond
)

// reservation is the place of a refused job before newcomers. The job was told to retry at retryAt.
type reservation struct {
	job     Job
	retryAt time.Duration
}

// reservations are the refused jobs that are expected to retry.
type reservations struct {
	reserved     map[string]reservation
	reservedWork Sums
	expiredAt    time.Duration
}

func newReservations() reservations {
	return reservations{reserved: map[string]reservation{}, reservedWork: Sums{}}
}

// reserve returns when a refused job that is expected to be accepted after a delay should retry, in
// whole seconds from now, and reserves that time for it. A job that retries too early keeps its
// retry time.
func (r *reservations) reserve(now time.Duration, job *Job, delay time.Duration) (retryAfter time.Duration) {
	if known, ok := r.reserved[job.ID]; ok && known.retryAt > now {
		return wholeSeconds(known.retryAt - now)
	}
	r.release(job.ID)
	retryAfter = wholeSeconds(delay)
	if retryAfter <= maxReservationTime && len(r.reserved) < maxReservations {
		r.reserved[job.ID] = reservation{*job, now + retryAfter}
		r.reservedWork.Add(job.Class, job.Work)
	}
	return retryAfter
}

// wholeSeconds rounds a time up to whole seconds, because that is what callers are told; it returns
// at least one.
func wholeSeconds(d time.Duration) time.Duration {
	return max((d + time.Second - 1).Truncate(time.Second), time.Second)
}

// isDue reports whether a job has a reservation and retries when it was told to.
func (r *reservations) isDue(now time.Duration, id string) bool {
	known, ok := r.reserved[id]
	return ok && known.retryAt <= now
}

// release ends the reservation of a job.
func (r *reservations) release(id string) {
	if known, ok := r.reserved[id]; ok {
		delete(r.reserved, id)
		r.reservedWork.remove(known.job.Class, known.job.Work)
	}
}

// expireSometimes calls expire at most once per expiryInterval.
func (r *reservations) expireSometimes(now time.Duration) {
	if now-r.expiredAt >= expiryInterval {
		r.expire(now)
	}
}

// expire ends the reservations of jobs that didn't retry.
func (r *reservations) expire(now time.Duration) {
	r.expiredAt = now
	for id, known := range r.reserved {
		if now > known.retryAt+reservationGrace {
			r.release(id)
		}
	}
}
