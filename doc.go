// Package bilberryferry is the root of a cluster scheduler for jobs with deadlines. README.md
// describes the programs, and docs/EMBEDDING.md the library packages.
package bilberryferry
