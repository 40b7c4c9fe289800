package workflow

import (
	"testing"

	"github.com/shoenig/test/must"
)

// recordMaintenance applies the progress of a machine in wave 3.
func recordMaintenance(s *State, machine string, stage MaintenanceStage) {
	s.Apply(1, &Command{Maintenance: &Maintenance{Wave: 3, Machine: machine, Stage: stage, Worker: "w-" + machine}})
}

// Guards against a maintenance wave that is reported as done while a machine still waits:
// an order without a response counts as started maintenance, or a delayed older update sets
// a stage back.
func TestWaveIsDoneOnceEachMachineIsInMaintenanceOrGone(t *testing.T) {
	s := NewState()
	wave := Wave{ID: 3, Machines: []string{"m1", "m2"}, DurationMS: 20_000, MaxDown: 1}
	s.Apply(1, &Command{Wave: &wave})
	s.Apply(2, &Command{Wave: &Wave{ID: 3}})
	must.Eq(t, wave, s.Wave(3).Wave, must.Sprint("a wave with a known ID changes nothing"))
	recordMaintenance(s, "m1", MaintenanceStarted)
	recordMaintenance(s, "m1", MaintenanceOrdered)
	recordMaintenance(s, "m2", MaintenanceOrdered)
	recordMaintenance(s, "stranger", MaintenanceStarted)
	must.False(t, s.Wave(3).Done())
	encoded, err := s.Snapshot()
	must.NoError(t, err)
	s, err = Restore(encoded)
	must.NoError(t, err)
	must.Eq(t, MaintenanceStarted, s.Wave(3).Maintenances["m1"].Stage)
	must.MapLen(t, 2, s.Wave(3).Maintenances)
	recordMaintenance(s, "m2", MaintenanceNotNeeded)
	must.True(t, s.Wave(3).Done())
	must.Nil(t, s.Wave(4))
}
