// Package standin simulates the clients of bilberryferry: workers, minions,
// callers of services and submitters of jobs. They speak the real protocols over
// real sockets, inject configured faults, and check the system's guarantees from
// outside: no task runs twice at the same time, no worker gets more than its
// capacity, no response is altered, truncated or swapped. The package is for
// trials, tests and measurements; no daemon needs it.
package standin
