package arrivals

import (
	"testing"

	"github.com/shoenig/test/must"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// packingPoint is the useful work at one load, for the baseline and for the
// scheduler, all in percent of the capacity.
type packingPoint struct {
	load, baseline, scheduled float64
}

// plotPacking writes an SVG plot of the useful work by load.
func plotPacking(t *testing.T, site Site, points []packingPoint, file string) {
	p := plot.New()
	p.Title.Text = site.Name + ": work done in time, seed 1"
	p.X.Label.Text = "arriving work, fraction of the capacity"
	p.Y.Label.Text = "useful work, percent of the capacity"
	p.Legend.Top, p.Legend.Left = true, true
	baseline, scheduled := make(plotter.XYs, len(points)), make(plotter.XYs, len(points))
	for i, point := range points {
		baseline[i].X, baseline[i].Y = point.load, point.baseline
		scheduled[i].X, scheduled[i].Y = point.load, point.scheduled
	}
	must.NoError(t, plotutil.AddLinePoints(p, "placement", scheduled, "first come, first fit", baseline))
	must.NoError(t, p.Save(14*vg.Centimeter, 9*vg.Centimeter, file))
}
