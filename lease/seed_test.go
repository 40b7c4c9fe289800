package lease_test

import "flag"

// init fixes the seed, so that every run gives the same result. The flag
// -rapid.seed=0 draws a new seed for each run.
func init() { _ = flag.Set("rapid.seed", "1") }
