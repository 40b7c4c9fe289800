// Package standin simulates the clients of bilberryferry: workers, minions, callers of
// services and submitters of jobs. The stand-ins speak the real protocols, inject
// configured faults, and check the system's guarantees from outside: no two attempts of a
// task run at the same time, no worker gets tasks whose demands exceed its capacity, no
// response is altered, truncated or swapped. The package is for trials, tests and
// measurements; no daemon uses it.
package standin
