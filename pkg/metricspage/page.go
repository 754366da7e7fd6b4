// Package metricspage serves a go-metrics registry in the Prometheus text exposition format.
//
// Usage:
//
//	mux.Handle("/metrics", metricspage.New(registry))
package metricspage

import (
	"net/http"
	"sort"
	"strings"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"
)

// Prefix is the prefix of all metric names.
const Prefix = "cuminroute_"

// quantiles lists the quantiles that are exported for each histogram and timer.
var quantiles = []float64{0.5, 0.95, 0.99}

// Page is an http.Handler that exports the metrics of a registry.
type Page struct {
	registry metrics.Registry
}

// New returns a page that exports the metrics of the registry.
func New(registry metrics.Registry) *Page {
	return &Page{registry: registry}
}

// ServeHTTP writes all metrics, sorted by name.
func (p *Page) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	format := expfmt.NewFormat(expfmt.TypeTextPlain)
	w.Header().Set("Content-Type", string(format))
	encoder := expfmt.NewEncoder(w, format)
	for _, family := range p.families() {
		if err := encoder.Encode(family); err != nil {
			return // The client has disconnected.
		}
	}
}

// families returns the metrics of the registry as Prometheus metric families, sorted by name.
func (p *Page) families() []*dto.MetricFamily {
	var families []*dto.MetricFamily
	p.registry.Each(func(name string, metric any) {
		if family := familyOf(Prefix+sanitize(name), metric); family != nil {
			families = append(families, family)
		}
	})
	sort.Slice(families, func(i, j int) bool { return families[i].GetName() < families[j].GetName() })
	return families
}

// familyOf converts a go-metrics metric to a Prometheus metric family, or returns nil if its type has no equivalent. A
// meter is exported as a counter of its events.
func familyOf(name string, metric any) *dto.MetricFamily {
	switch m := metric.(type) {
	case metrics.Counter:
		return counter(name, float64(m.Count()))
	case metrics.Meter:
		return counter(name, float64(m.Snapshot().Count()))
	case metrics.Gauge:
		return gauge(name, float64(m.Value()))
	case metrics.GaugeFloat64:
		return gauge(name, m.Value())
	case metrics.Histogram:
		s := m.Snapshot()
		return summary(name, s.Count(), float64(s.Sum()), s.Percentiles(quantiles))
	case metrics.Timer:
		s := m.Snapshot()
		return summary(name, s.Count(), float64(s.Sum()), s.Percentiles(quantiles))
	default:
		return nil
	}
}

func counter(name string, value float64) *dto.MetricFamily {
	return family(name, dto.MetricType_COUNTER, &dto.Metric{Counter: &dto.Counter{Value: proto.Float64(value)}})
}

func gauge(name string, value float64) *dto.MetricFamily {
	return family(name, dto.MetricType_GAUGE, &dto.Metric{Gauge: &dto.Gauge{Value: proto.Float64(value)}})
}

func summary(name string, count int64, sum float64, values []float64) *dto.MetricFamily {
	s := &dto.Summary{SampleCount: proto.Uint64(uint64(count)), SampleSum: proto.Float64(sum)}
	for i, q := range quantiles {
		s.Quantile = append(s.Quantile, &dto.Quantile{Quantile: proto.Float64(q), Value: proto.Float64(values[i])})
	}
	return family(name, dto.MetricType_SUMMARY, &dto.Metric{Summary: s})
}

func family(name string, kind dto.MetricType, metric *dto.Metric) *dto.MetricFamily {
	return &dto.MetricFamily{Name: proto.String(name), Type: kind.Enum(), Metric: []*dto.Metric{metric}}
}

// sanitize replaces the characters that the text format does not allow in a metric name.
func sanitize(name string) string {
	return strings.Map(func(r rune) rune {
		switch {
		case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9', r == '_':
			return r
		default:
			return '_'
		}
	}, name)
}
