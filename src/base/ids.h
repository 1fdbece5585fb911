#ifndef CITRONFERRY_BASE_IDS_H_
#define CITRONFERRY_BASE_IDS_H_

#include <compare>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace citronferry {

/// String identifier that does not convert to an identifier of another kind.
template <typename Tag>
class StrongId {
 public:
  StrongId() = default;
  explicit StrongId(std::string_view value) : m_value(value) {}

  std::string_view view() const { return m_value; }
  const std::string& str() const { return m_value; }
  bool empty() const { return m_value.empty(); }

  // clang-tidy 14 mistakes the defaulted operator for a null pointer.
  friend auto operator<=>(const StrongId&,
                          const StrongId&) = default;  // NOLINT(modernize-use-nullptr)

 private:
  std::string m_value;
};

using InstanceId = StrongId<struct InstanceIdTag>;
using PoolName = StrongId<struct PoolNameTag>;
using ServiceName = StrongId<struct ServiceNameTag>;
using QueueName = StrongId<struct QueueNameTag>;
using TeamName = StrongId<struct TeamNameTag>;
using EntryId = StrongId<struct EntryIdTag>;
using RackName = StrongId<struct RackNameTag>;
using DataCentreName = StrongId<struct DataCentreNameTag>;
using RequestKey = StrongId<struct RequestKeyTag>;
using JobId = StrongId<struct JobIdTag>;

}  // namespace citronferry

template <typename Tag>
struct std::hash<citronferry::StrongId<Tag>> {
  size_t operator()(const citronferry::StrongId<Tag>& id) const noexcept {
    return std::hash<std::string_view>{}(id.view());
  }
};

#endif  // CITRONFERRY_BASE_IDS_H_
