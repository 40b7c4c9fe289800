package entry

import "expvar"

// Stats are the counters of an entry instance.
type Stats struct {
	Calls expvar.Int
}

// Publish adds the counters, the metrics of the request proxy and the version of the
// configuration to a map of metrics.
func (e *Entry) Publish(metrics *expvar.Map) {
	metrics.Set("calls", &e.stats.Calls)
	metrics.Set("requests", expvar.Func(func() any { return e.requestProxy.Stats() }))
	metrics.Set("config_version", expvar.Func(func() any { return e.config.Current().Version }))
}
