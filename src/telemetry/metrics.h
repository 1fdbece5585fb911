#ifndef CITRONFERRY_TELEMETRY_METRICS_H_
#define CITRONFERRY_TELEMETRY_METRICS_H_

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace prometheus {
class Registry;
}

namespace citronferry {

/// Metrics of one process, rendered in the Prometheus text format.
class Metrics {
 public:
  using Labels = std::map<std::string, std::string>;

  Metrics();
  ~Metrics();

  /// @param name metric name by Prometheus conventions, such as citronferry_requests_total.
  /// @param help one sentence for the person who reads the metric.
  /// @return the time series with these labels, created on first use; valid as long as Metrics.
  prometheus::Counter& Counter(std::string_view name, std::string_view help, Labels labels = {});
  prometheus::Gauge& Gauge(std::string_view name, std::string_view help, Labels labels = {});
  /// Histogram of durations in seconds.
  prometheus::Histogram& LatencyHistogram(std::string_view name, std::string_view help,
                                          Labels labels = {});

  /// @return all time series in the text exposition format.
  std::string Render() const;

 private:
  std::unique_ptr<prometheus::Registry> m_registry;
};

}  // namespace citronferry

#endif  // CITRONFERRY_TELEMETRY_METRICS_H_
