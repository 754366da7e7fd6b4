package metricspage_test

import (
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/rcrowley/go-metrics"

	"github.com/cuminroute/cuminroute/pkg/metricspage"
)

// TestPage guards against output that the Prometheus text parser rejects, and against missing metrics.
func TestPage(t *testing.T) {
	registry := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("requests.done", registry).Inc(3)
	metrics.GetOrRegisterGauge("streams", registry).Update(2)
	metrics.GetOrRegisterTimer("step", registry).Update(5)
	recorder := httptest.NewRecorder()
	metricspage.New(registry).ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))

	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(recorder.Body)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, families, qt.HasLen, 3)
	qt.Assert(t, families["cuminroute_requests_done"].GetMetric()[0].GetCounter().GetValue(), qt.Equals, 3.0)
	qt.Assert(t, families["cuminroute_streams"].GetMetric()[0].GetGauge().GetValue(), qt.Equals, 2.0)
	qt.Assert(t, families["cuminroute_step"].GetMetric()[0].GetSummary().GetSampleCount(), qt.Equals, uint64(1))
}
