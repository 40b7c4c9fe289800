package wal

import "flag"

// init sets a fixed seed, so that every run has the same result. The flag -rapid.seed=0
// makes rapid use a random seed.
func init() { _ = flag.Set("rapid.seed", "1") }
