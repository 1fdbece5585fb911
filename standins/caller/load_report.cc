#include "standins/caller/load_report.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>

namespace citronferry::standin {
namespace {

double ComputePercentileMs(const std::vector<Duration>& sorted, double fraction) {
  if (sorted.empty()) return 0;
  const auto index = static_cast<size_t>(fraction * static_cast<double>(sorted.size() - 1));
  return ToSeconds(sorted[index]) * 1000;
}

}  // namespace

std::string LoadReport::ToJson() const {
  std::vector<Duration> sorted = latencies;
  std::sort(sorted.begin(), sorted.end());
  QJsonObject by_outcome;
  int requests = 0;
  for (const auto& [outcome, count] : outcomes) {
    by_outcome.insert(QString::fromStdString(outcome), count);
    requests += count;
  }
  const QJsonObject json{{QStringLiteral("requests"), requests},
                         {QStringLiteral("tries"), attempts},
                         {QStringLiteral("outcomes"), by_outcome},
                         {QStringLiteral("wrong_answers"), mismatched_responses},
                         {QStringLiteral("p50_ms"), ComputePercentileMs(sorted, 0.5)},
                         {QStringLiteral("p99_ms"), ComputePercentileMs(sorted, 0.99)},
                         {QStringLiteral("p99_9_ms"), ComputePercentileMs(sorted, 0.999)}};
  return QJsonDocument(json).toJson(QJsonDocument::Compact).toStdString();
}

}  // namespace citronferry::standin
