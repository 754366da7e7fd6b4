package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Report holds the outcomes of the compared policies.
type Report struct {
	Duration time.Duration `json:"Length"`
	Policies []Outcome     `json:"Policies"`
}

// WriteTable writes one line of figures for each policy.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "policy\trequests\tcredit\tworst\trefused\tbroken\tlate\tfirst p50 ms\tp95\tpause p50 ms\tp99\tpreempted\t")
	for _, o := range r.Policies {
		fmt.Fprintf(t, "%s\t%d\t%.3f\t%.3f\t%d\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%d\t\n", o.Policy, o.Requests, o.Credit, o.WorstCredit,
			o.Refused, o.Broken, o.Late, o.FirstEvent.P50, o.FirstEvent.P95, o.LongestGap.P50, o.LongestGap.P99, o.Targets.Preempted)
	}
	return t.Flush()
}

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(w io.Writer) error { return json.NewEncoder(w).Encode(r) }

// Plot writes the credit of each window to a file, in the format of its extension.
func (r *Report) Plot(file string) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "Credit by time of arrival", "s", "credit"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top = false
	for i, o := range r.Policies {
		var points plotter.XYs
		for j, credit := range o.WindowCredits {
			if credit >= 0 {
				points = append(points, plotter.XY{X: (time.Duration(j) * windowLength).Seconds(), Y: credit})
			}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color, line.Width = plotutil.Color(i), vg.Points(2)
		p.Add(line)
		p.Legend.Add(o.Policy, line)
	}
	return p.Save(24*vg.Centimeter, 12*vg.Centimeter, file)
}
