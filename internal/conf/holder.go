package conf

import "sync"

// Holder keeps the configuration that is in force in one process. The version only
// grows: a configuration of an older or equal version that arrives late is ignored. The
// zero Holder is ready to use and holds version 0 with an empty document. Its methods are
// safe for concurrent use.
type Holder struct {
	mu      sync.Mutex
	current Config
	changed chan struct{}
}

// Current returns the configuration in force.
func (h *Holder) Current() Config {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.current.Document == nil {
		h.current.Document = &Document{}
	}
	return h.current
}

// Set puts a configuration in force. It returns false and changes nothing if the
// version isn't newer.
func (h *Holder) Set(config Config) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if config.Version <= h.current.Version {
		return false
	}
	if config.Document == nil {
		config = withParsedDocument(Config{Document: h.documentLocked()}, config)
	}
	h.current = config
	if h.changed != nil {
		close(h.changed)
		h.changed = nil
	}
	return true
}

// documentLocked returns the document in force. h.mu must be held.
func (h *Holder) documentLocked() *Document {
	if h.current.Document == nil {
		return &Document{}
	}
	return h.current.Document
}

// Changed returns a channel that is closed at the next change of version.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.changed == nil {
		h.changed = make(chan struct{})
	}
	return h.changed
}
