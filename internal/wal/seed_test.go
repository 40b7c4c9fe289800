package wal

import "flag"

// init sets a fixed seed, so that every run has the same result. -rapid.seed=0 draws a
// new one.
func init() { _ = flag.Set("rapid.seed", "1") }
