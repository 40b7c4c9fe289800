package hlc_test

import "flag"

// A fixed seed makes runs repeatable. -rapid.seed=0 chooses a random one.
func init() { _ = flag.Set("rapid.seed", "1") }
