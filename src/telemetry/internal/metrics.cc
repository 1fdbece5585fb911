#include "telemetry/metrics.h"

#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <utility>

namespace citronferry {
namespace {

template <typename Builder>
auto& BuildFamily(Builder builder, std::string_view name, std::string_view help,
                  prometheus::Registry& registry) {
  return builder.Name(std::string(name)).Help(std::string(help)).Register(registry);
}

// Bucket bounds in seconds, from below the network latency between data centres (1.4 ms) to the
// longest deadlines of interactive work.
const prometheus::Histogram::BucketBoundaries& LatencyBuckets() {
  static const prometheus::Histogram::BucketBoundaries kBuckets{
      0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 1.8, 3, 5, 10, 30};
  return kBuckets;
}

}  // namespace

Metrics::Metrics()
    : m_registry(
          std::make_unique<prometheus::Registry>(prometheus::Registry::InsertBehavior::Merge)) {}

Metrics::~Metrics() = default;

prometheus::Counter& Metrics::Counter(std::string_view name, std::string_view help, Labels labels) {
  return BuildFamily(prometheus::BuildCounter(), name, help, *m_registry).Add(labels);
}

prometheus::Gauge& Metrics::Gauge(std::string_view name, std::string_view help, Labels labels) {
  return BuildFamily(prometheus::BuildGauge(), name, help, *m_registry).Add(labels);
}

prometheus::Histogram& Metrics::LatencyHistogram(std::string_view name, std::string_view help,
                                                 Labels labels) {
  return BuildFamily(prometheus::BuildHistogram(), name, help, *m_registry)
      .Add(labels, LatencyBuckets());
}

std::string Metrics::Render() const {
  return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

}  // namespace citronferry
