package losses

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	// defaultInterval is the length of the intervals of the plot.
	defaultInterval = 2 * time.Second
	// maxLine bounds one line of a log in bytes.
	maxLine = 1 << 20
	// maxIntervals bounds the memory for a log that spans a long time; what is later counts in the last one.
	maxIntervals = 100_000
)

// Cause is what was lost for one reason.
type Cause struct {
	Cause    string    `json:"Cause"`
	Requests int       `json:"Requests"`
	Lost     float64   `json:"Lost"`    // Lost is in requests' credits.
	Example  string    `json:"Example"` // Example is the ID of the first of these requests.
	First    time.Time `json:"First"`   // First is when it ended.
}

// Report sums up what callers lost.
type Report struct {
	interval time.Duration
	requests int
	faulty   int // faulty counts lines that cannot be decoded.
	start    time.Time
	causes   map[string]*Cause
	times    map[string]map[time.Time]float64 // times holds the credit lost by cause and interval.
}

// Option changes Losses.
type Option func(*Report)

// WithInterval sets the length of the intervals of the plot.
func WithInterval(d time.Duration) Option {
	return func(l *Report) { l.interval = d }
}

// New returns empty sums.
func New(options ...Option) *Report {
	l := &Report{interval: defaultInterval, causes: make(map[string]*Cause), times: make(map[string]map[time.Time]float64)}
	for _, o := range options {
		o(l)
	}
	return l
}

// Read takes in the lines of a log. Lines that are no entries of requests are passed over; damaged ones are counted.
func (l *Report) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		entry, ok, err := parse(scanner.Bytes())
		switch {
		case err != nil:
			l.faulty++
		case ok:
			l.add(entry)
		}
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("the log could not be read to its end: %w", err)
	}
	return nil
}

func (l *Report) add(entry line) {
	l.requests++
	at := entry.Time.Truncate(l.interval)
	if l.start.IsZero() || at.Before(l.start) {
		l.start = at
	}
	name, lost := entry.cause()
	if name == "" {
		return
	}
	c := l.causes[name]
	if c == nil {
		c = &Cause{Cause: name}
		l.causes[name], l.times[name] = c, make(map[time.Time]float64)
	}
	if c.Requests == 0 || entry.Time.Before(c.First) {
		c.Example, c.First = entry.Request, entry.Time
	}
	c.Requests++
	c.Lost += lost
	l.times[name][at] += lost
}

// Causes returns the causes, the one that costs most first.
func (l *Report) Causes() []Cause {
	var list []Cause
	for _, c := range l.causes {
		list = append(list, *c)
	}
	slices.SortFunc(list, func(a, b Cause) int {
		return cmp.Or(cmp.Compare(b.Lost, a.Lost), cmp.Compare(a.Cause, b.Cause))
	})
	return list
}

// Requests returns the number of requests that ended.
func (l *Report) Requests() int { return l.requests }

// WriteTable writes a table.
func (l *Report) WriteTable(w io.Writer) error {
	total := 0.0
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "cause\trequests\tcredit lost\tof all, %\tfirst request\tended")
	for _, c := range l.Causes() {
		total += c.Lost
		fmt.Fprintf(t, "%s\t%d\t%.1f\t%.2f\t%s\t%s\n", c.Cause, c.Requests, c.Lost, l.percent(c.Lost), c.Example, c.First.Format(time.RFC3339Nano))
	}
	fmt.Fprintf(t, "all\t%d\t%.1f\t%.2f\t\t\n", l.requests, total, l.percent(total))
	if err := t.Flush(); err != nil {
		return err
	}
	if l.faulty > 0 {
		_, err := fmt.Fprintf(w, "%d lines could not be decoded and are left out\n", l.faulty)
		return err
	}
	return nil
}

func (l *Report) percent(lost float64) float64 { return 100 * lost / float64(max(l.requests, 1)) }

// WriteJSON writes the causes.
func (l *Report) WriteJSON(w io.Writer) error {
	return json.NewEncoder(w).Encode(struct {
		Requests int     `json:"Requests"`
		Faulty   int     `json:"Faulty"` // Faulty counts the lines that could not be decoded.
		Causes   []Cause `json:"Causes"`
	}{l.requests, l.faulty, l.Causes()})
}

// Plot writes the credit lost over time, by cause, to a file in the format of its extension.
func (l *Report) Plot(file string) error {
	n := 0
	for _, times := range l.times {
		for at := range times {
			n = max(n, l.index(at)+1)
		}
	}
	if n == 0 {
		return errors.New("nothing was lost")
	}
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = "Credit lost", "requests' credits for each interval"
	p.X.Label.Text = fmt.Sprintf("intervals of %s since %s", l.interval, l.start.Format(time.RFC3339))
	p.Legend.Top = true
	var below *plotter.BarChart
	for i, c := range l.Causes() {
		values := make(plotter.Values, n)
		for at, lost := range l.times[c.Cause] {
			values[l.index(at)] += lost
		}
		bars, err := plotter.NewBarChart(values, vg.Points(max(1, 500/float64(n))))
		if err != nil {
			return err
		}
		bars.Color, bars.LineStyle.Width = plotutil.Color(i), 0
		if below != nil {
			bars.StackOn(below)
		}
		below = bars
		p.Add(bars)
		p.Legend.Add(c.Cause, bars)
	}
	return p.Save(24*vg.Centimeter, 12*vg.Centimeter, file)
}

// index is the number of the interval that begins at a time.
func (l *Report) index(at time.Time) int {
	return min(int(at.Sub(l.start)/l.interval), maxIntervals-1)
}
