package instance

import "testing"

// Guards against instances that are short of processor and bound nothing, because the contract of their deployment
// doesn't name a term that calls for it.
func TestInstancesBoundCallsWhateverTheContractNames(t *testing.T) {
	for _, role := range []string{coreRole, edgeRole} {
		for _, terms := range []string{``, `terms = ["base","drain"]`} {
			settings := newDaemonSettings(t, role)
			daemon := startDaemon(t, role, writeSettings(t, terms+"\n"+settings.text()))
			daemon.awaitLog(t, "load_control=true")
			daemon.stop(t)
		}
	}
}

// Guards against load control that can't be switched off to measure what it does.
func TestLoadControlCanBeSwitchedOff(t *testing.T) {
	daemon := startDaemon(t, edgeRole, writeSettings(t, "load_control = false\n"+newDaemonSettings(t, edgeRole).text()))
	daemon.awaitLog(t, "load_control=false")
	daemon.stop(t)
}
