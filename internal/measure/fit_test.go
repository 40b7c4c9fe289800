package measure

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// tolerance allows for the rounding of floating-point numbers.
const tolerance = 1e-9

func TestFitLineSlopeAndResidual(t *testing.T) {
	exact := FitLine([]float64{50, 150, 450}, []float64{2, 4, 10})
	must.InDelta(t, 1, exact.Intercept, tolerance)
	must.InDelta(t, 0.02, exact.Slope, tolerance)
	must.InDelta(t, 0, exact.Residual, tolerance)
	nonlinear := FitLine([]float64{0, 1, 2}, []float64{0, 3, 0})
	must.InDelta(t, 0, nonlinear.Slope, tolerance)
	must.InDelta(t, 2, nonlinear.Residual, tolerance)
	must.Eq(t, Line{Intercept: 7}, FitLine([]float64{5, 5}, []float64{7, 7}))
}

func TestWriteFitSeparatesRoles(t *testing.T) {
	leader := Usage{Name: "a/cell", CPUPercent: 4, Roles: map[string]string{"cell.x": "leader", "configuration": "follower"}}
	follower := Usage{Name: "b/cell", CPUPercent: 1, Roles: map[string]string{"cell.x": "follower"}}
	entry := Usage{Name: "b/entry", Counters: map[string]float64{"accepted.BytesSent": 30, "peers.*.BytesReceived": 12}}
	must.Eq(t, ClassLeader, leader.CellClass())
	must.Eq(t, ClassConfigVoter, leader.ConfigClass())
	must.Eq(t, ClassFollower, follower.CellClass())
	must.Eq(t, ClassConfigReader, follower.ConfigClass())
	must.Eq(t, ClassEntry, entry.CellClass())
	must.Eq(t, 42, entry.SocketBytes())
	var out strings.Builder
	must.NoError(t, WriteFit(&out, []Measurement{{Size: 1, Usages: []Usage{leader, follower, entry}}}, Usage.CellClass))
	must.StrContains(t, out.String(), "| cell leader   | cpu %      | 4.00 (4.00)")
}
