package conf

import "flag"

// A fixed seed gives every run the same result. -rapid.seed=0 draws a new one.
func init() { _ = flag.Set("rapid.seed", "1") }
