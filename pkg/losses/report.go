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
	// defaultInterval is the default length of the plot's intervals.
	defaultInterval = 2 * time.Second
	// maxLine bounds one line of a log in bytes.
	maxLine = 1 << 20
	// maxIntervals bounds the memory for a log that spans a long time. Later losses count in the last interval.
	maxIntervals = 100_000
)

// Cause sums up the credit lost for one cause.
type Cause struct {
	Cause    string    `json:"Cause"`
	Requests int       `json:"Requests"`
	Lost     float64   `json:"Lost"`    // Lost is the sum of the lost credit, at most 1 per request.
	Example  string    `json:"Example"` // Example is the ID of the first request with this cause.
	First    time.Time `json:"First"`   // First is when the Example request ended.
}

// Report sums up the credit that clients lost, by cause.
type Report struct {
	interval    time.Duration
	requests    int
	undecodable int       // undecodable counts the request lines that cannot be decoded.
	start       time.Time // start is the start of the first interval.
	causes      map[string]*Cause
	lostAt      map[string]map[time.Time]float64 // lostAt holds the lost credit by cause and start of the interval.
}

// Option configures a Report.
type Option func(*Report)

// WithInterval sets the length of the plot's intervals.
func WithInterval(d time.Duration) Option {
	return func(r *Report) { r.interval = d }
}

// New returns an empty report.
func New(options ...Option) *Report {
	r := &Report{interval: defaultInterval, causes: make(map[string]*Cause), lostAt: make(map[string]map[time.Time]float64)}
	for _, o := range options {
		o(r)
	}
	return r
}

// Read adds the request lines of a log to the report: the lines that are written when a request ends. It counts request
// lines that cannot be decoded and skips all other lines.
func (r *Report) Read(log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		entry, ok, err := parse(scanner.Bytes())
		switch {
		case err != nil:
			r.undecodable++
		case ok:
			r.add(entry)
		}
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("read the log: %w", err)
	}
	return nil
}

func (r *Report) add(entry requestEntry) {
	r.requests++
	at := entry.Time.Truncate(r.interval)
	if r.start.IsZero() || at.Before(r.start) {
		r.start = at
	}
	name, lost := entry.cause()
	if name == "" {
		return
	}
	c := r.causes[name]
	if c == nil {
		c = &Cause{Cause: name}
		r.causes[name], r.lostAt[name] = c, make(map[time.Time]float64)
	}
	if c.Requests == 0 || entry.Time.Before(c.First) {
		c.Example, c.First = entry.Request, entry.Time
	}
	c.Requests++
	c.Lost += lost
	r.lostAt[name][at] += lost
}

// Causes returns the causes, sorted by descending lost credit.
func (r *Report) Causes() []Cause {
	var list []Cause
	for _, c := range r.causes {
		list = append(list, *c)
	}
	slices.SortFunc(list, func(a, b Cause) int {
		return cmp.Or(cmp.Compare(b.Lost, a.Lost), cmp.Compare(a.Cause, b.Cause))
	})
	return list
}

// Requests returns the number of requests read.
func (r *Report) Requests() int { return r.requests }

// WriteTable writes the causes, the totals and the number of undecodable request lines as text.
func (r *Report) WriteTable(w io.Writer) error {
	total := 0.0
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "cause\trequests\tcredit lost\tof all, %\tfirst request\tended")
	for _, c := range r.Causes() {
		total += c.Lost
		fmt.Fprintf(table, "%s\t%d\t%.1f\t%.2f\t%s\t%s\n", c.Cause, c.Requests, c.Lost, r.percent(c.Lost), c.Example,
			c.First.Format(time.RFC3339Nano))
	}
	fmt.Fprintf(table, "all\t%d\t%.1f\t%.2f\t\t\n", r.requests, total, r.percent(total))
	if err := table.Flush(); err != nil {
		return err
	}
	if r.undecodable > 0 {
		_, err := fmt.Fprintf(w, "%d lines could not be decoded and are left out\n", r.undecodable)
		return err
	}
	return nil
}

// percent returns lost credit as a percentage of the full credit of all requests.
func (r *Report) percent(lost float64) float64 { return 100 * lost / float64(max(r.requests, 1)) }

// WriteJSON writes the causes as JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	return json.NewEncoder(w).Encode(struct {
		Requests int     `json:"Requests"`
		Faulty   int     `json:"Faulty"` // Faulty counts the request lines that could not be decoded.
		Causes   []Cause `json:"Causes"`
	}{r.requests, r.undecodable, r.Causes()})
}

// Plot writes a stacked bar chart of the lost credit over time, by cause, to a file in the format of its extension.
func (r *Report) Plot(file string) error {
	intervals := 0
	for _, lostAt := range r.lostAt {
		for at := range lostAt {
			intervals = max(intervals, r.index(at)+1)
		}
	}
	if intervals == 0 {
		return errors.New("nothing was lost")
	}
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = "Credit lost", "requests' credits for each interval"
	p.X.Label.Text = fmt.Sprintf("intervals of %s since %s", r.interval, r.start.Format(time.RFC3339))
	p.Legend.Top = true
	var below *plotter.BarChart
	for i, c := range r.Causes() {
		values := make(plotter.Values, intervals)
		for at, lost := range r.lostAt[c.Cause] {
			values[r.index(at)] += lost
		}
		bars, err := plotter.NewBarChart(values, vg.Points(max(1, 500/float64(intervals))))
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

// index returns the index of the interval that begins at a time, at most that of the last interval.
func (r *Report) index(at time.Time) int {
	return min(int(at.Sub(r.start)/r.interval), maxIntervals-1)
}
