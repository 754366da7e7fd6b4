package bench

import (
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// series is a set of bars of one colour, with a value for each name on the horizontal axis.
type series struct {
	name   string
	values plotter.Values
}

var colours = []color.Color{color.RGBA{R: 60, G: 110, B: 180, A: 255}, color.RGBA{R: 220, G: 130, B: 50, A: 255}, color.RGBA{R: 110, G: 160, B: 90, A: 255}}

// plotBars writes grouped bars to a file, in the format of its extension.
func plotBars(file, title, unit string, names []string, all []series) error {
	const width = 14
	p := plot.New()
	p.Title.Text, p.Y.Label.Text, p.Legend.Top = title, unit, true
	for i, s := range all {
		bars, err := plotter.NewBarChart(s.values, vg.Points(width))
		if err != nil {
			return err
		}
		bars.Color = colours[i%len(colours)]
		bars.Offset = vg.Points(width * (float64(i) - float64(len(all)-1)/2))
		p.Add(bars)
		p.Legend.Add(s.name, bars)
	}
	p.NominalX(names...)
	return p.Save(24*vg.Centimeter, 12*vg.Centimeter, file)
}

// Plot writes a chart of the throughput of each policy relative to the bound to a file.
func (r ThroughputResult) Plot(file string) error {
	var names []string
	s := series{name: "throughput at a load of 1.5 times the bound"}
	for _, p := range r.Policies {
		names = append(names, p.Policy)
		s.values = append(s.values, p.BoundRatio)
	}
	return plotBars(file, "Throughput relative to the bound", "fraction of the bound", names, []series{s})
}

// Plot writes a chart of the waits for the next token and for the recovery of goodput after each failure to a file.
func (r RecoveryResult) Plot(file string) error {
	var names []string
	all := []series{{name: "next token, p50"}, {name: "next token, p99"}, {name: "goodput recovery"}}
	for _, f := range r.Failures {
		names = append(names, f.Failure)
		for i, v := range []float64{f.NextToken.P50, f.NextToken.P99, max(f.GoodputRecovery, 0)} {
			all[i].values = append(all[i].values, v)
		}
	}
	return plotBars(file, "Recovery", "ms", names, all)
}

// Plot writes a chart of the CPU time through an instance and directly to a file.
func (r OverheadResult) Plot(file string) error {
	names := []string{"through an instance", "directly"}
	all := []series{
		{"per request", plotter.Values{r.Instance.MicrosPerRequest, r.Direct.MicrosPerRequest}},
		{"per token", plotter.Values{r.Instance.MicrosPerToken, r.Direct.MicrosPerToken}},
	}
	return plotBars(file, "CPU time", "µs", names, all)
}
