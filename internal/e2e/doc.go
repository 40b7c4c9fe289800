// Package e2e tests the daemons as separate processes that communicate over loopback
// sockets, while processes are killed, paused and restarted and data centres are
// partitioned. Stand-in workers, minions and callers (package standin) run inside the test
// process. Their ledger records each violation of the system's guarantees.
package e2e
