package gateway

import (
	"cmp"
	"slices"
	"sort"
	"time"
)

// maxReadTimes bounds the recorded versions. A request takes 10 s at most, and fewer versions are
// committed in that time.
const maxReadTimes = 1024

// readTime is when a request whose response names a version was read.
type readTime struct {
	version uint64
	at      time.Time
}

// readTimes holds read times by version. A newer version has a later time: entries that can't decide a
// query, because another one has a version and a time that say more, are dropped.
type readTimes struct{ entries []readTime }

// position returns the index of the first entry with a version of at least v.
func (r *readTimes) position(v uint64) int {
	i, _ := slices.BinarySearchFunc(r.entries, v, func(e readTime, v uint64) int { return cmp.Compare(e.version, v) })
	return i
}

// raise records a request for the latest time of each version.
func (r *readTimes) raise(version uint64, at time.Time) {
	end := r.position(version + 1)
	if end > 0 && !r.entries[end-1].at.Before(at) {
		// A request with the same or an older version was read later.
		return
	}
	i := r.position(version)
	for end < len(r.entries) && !r.entries[end].at.After(at) {
		end++
	}
	r.entries = slices.Replace(r.entries, i, end, readTime{version, at})
	r.bound()
}

// lower records a request for the earliest time of each version.
func (r *readTimes) lower(version uint64, at time.Time) {
	i := r.position(version)
	if i < len(r.entries) && !r.entries[i].at.After(at) {
		// A request with the same or a newer version was read earlier.
		return
	}
	end := r.position(version + 1)
	for i > 0 && !r.entries[i-1].at.Before(at) {
		i--
	}
	r.entries = slices.Replace(r.entries, i, end, readTime{version, at})
	r.bound()
}

func (r *readTimes) bound() {
	if len(r.entries) > maxReadTimes {
		r.entries = slices.Delete(r.entries, 0, len(r.entries)-maxReadTimes)
	}
}

// before returns the version and the latest time of the requests with a version before v, of those
// recorded with raise; ok is false if there is none.
func (r *readTimes) before(v uint64) (version uint64, at time.Time, ok bool) {
	i := r.position(v)
	if i == 0 {
		return 0, time.Time{}, false
	}
	return r.entries[i-1].version, r.entries[i-1].at, true
}

// after returns the version and the earliest time of the requests with a version after v, of those
// recorded with lower; ok is false if there is none.
func (r *readTimes) after(v uint64) (version uint64, at time.Time, ok bool) {
	i := r.position(v + 1)
	if i == len(r.entries) {
		return 0, time.Time{}, false
	}
	return r.entries[i].version, r.entries[i].at, true
}

// firstAfter returns the oldest version with a time after at, 0 for none.
func (r *readTimes) firstAfter(at time.Time) uint64 {
	i := sort.Search(len(r.entries), func(i int) bool { return r.entries[i].at.After(at) })
	if i == len(r.entries) {
		return 0
	}
	return r.entries[i].version
}
