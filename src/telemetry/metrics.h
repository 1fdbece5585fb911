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

/// Registry of a process's metrics, rendered in the Prometheus text format.
class Metrics {
 public:
  using Labels = std::map<std::string, std::string>;

  Metrics();
  ~Metrics();

  /// @param name metric name by Prometheus conventions, such as citronferry_requests_total.
  /// @param help description of the metric, one sentence.
  /// @return the time series with these labels, created on first use and owned by this object.
  prometheus::Counter& Counter(std::string_view name, std::string_view help, Labels labels = {});
  prometheus::Gauge& Gauge(std::string_view name, std::string_view help, Labels labels = {});
  /// @return a histogram of durations in seconds, created on first use and owned by this object.
  prometheus::Histogram& LatencyHistogram(std::string_view name, std::string_view help,
                                          Labels labels = {});

  /// @return all time series in the text exposition format.
  std::string Render() const;

 private:
  std::unique_ptr<prometheus::Registry> m_registry;
};

}  // namespace citronferry

#endif  // CITRONFERRY_TELEMETRY_METRICS_H_
