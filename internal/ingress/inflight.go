package ingress

const (
	// bytesPerCall is the memory that a submission in progress takes: its body, which is mostly much
	// shorter than the longest one, the decoded and encoded forms of it, and the buffers of two connections.
	bytesPerCall = 64 << 10
	// memoryDivisor gives the memory for submissions in progress: an eighth of the memory of the process.
	memoryDivisor = 8
	// callerDivisor gives the calls of one caller while others have calls in progress: a quarter of all.
	callerDivisor = 4
	// defaultMemoryBytes is assumed for a process without a memory limit, so that its calls are bounded too.
	defaultMemoryBytes = 1 << 30
)

// InFlight bounds the submissions in progress: in total, and for each caller so that the others
// always find a place.
type InFlight struct {
	limit, total int
	// byCaller holds the calls in progress of callers that have any, so it has at most limit entries.
	byCaller map[Caller]int
}

// MaxInFlight returns how many submissions may be in progress in a process with the given memory in
// bytes, 0 for no limit.
func MaxInFlight(memoryBytes int64) int {
	if memoryBytes <= 0 {
		memoryBytes = defaultMemoryBytes
	}
	return int(max(memoryBytes/memoryDivisor/bytesPerCall, callerDivisor))
}

// NewInFlight returns an InFlight for at most limit calls in progress; limit is at least 4.
func NewInFlight(limit int) *InFlight {
	return &InFlight{limit: max(limit, callerDivisor), byCaller: map[Caller]int{}}
}

// Begin reports whether a call of a caller may begin, and counts it if so. End must be called
// when it has ended.
//
// While others have calls in progress, a caller may have a quarter of the limit. A caller that is
// alone may have three quarters: if it could have all, the first call of another one would find
// no place until calls that may be held for seconds have ended.
func (f *InFlight) Begin(c Caller) bool {
	quarter := f.limit / callerDivisor
	own := f.byCaller[c]
	callerLimit := quarter
	if own == f.total {
		callerLimit = f.limit - quarter
	}
	if f.total >= f.limit || own >= callerLimit {
		return false
	}
	f.total++
	f.byCaller[c] = own + 1
	return true
}

// End counts a call of a caller as ended.
func (f *InFlight) End(c Caller) {
	f.total--
	if f.byCaller[c]--; f.byCaller[c] == 0 {
		delete(f.byCaller, c)
	}
}

// Total returns the number of calls in progress.
func (f *InFlight) Total() int { return f.total }
