package load

import (
	"time"

	"cranberrypoint.example/coord/fault"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
	bucket     = time.Second
)

// Plot draws the good requests a second of each workspace and of all over time.
func Plot(file string, o *Outcome) (err error) {
	defer fault.Annotate(&err, "plot %s", file)
	p := plot.New()
	p.Title.Text = o.Options.Profile.Name + ", " + o.Options.Label + ", fault " + string(o.Options.Fault)
	p.X.Label.Text = "arrival (s)"
	p.Y.Label.Text = "good requests a second"
	p.Legend.Top = true
	args := []any{"all", series(o, "")}
	for _, w := range o.Options.Profile.Workspaces {
		args = append(args, w.Name, series(o, w.Name))
	}
	if err := plotutil.AddLines(p, args...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, file)
}

func series(o *Outcome, workspace string) plotter.XYs {
	xy := make(plotter.XYs, int(o.Options.Length/bucket)+1)
	for i := range xy {
		xy[i].X = float64(i)
	}
	for i := range o.Results {
		r := &o.Results[i]
		n := int(r.At / bucket)
		if r.Generated && r.Good() && n < len(xy) && (workspace == "" || r.Workspace == workspace) {
			xy[n].Y++
		}
	}
	return xy
}
