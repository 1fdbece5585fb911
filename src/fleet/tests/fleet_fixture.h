#ifndef CITRONFERRY_FLEET_TESTS_FLEET_FIXTURE_H_
#define CITRONFERRY_FLEET_TESTS_FLEET_FIXTURE_H_

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <utility>

#include "fleet/fleet_context.h"
#include "fleet/testing/fake_row_store.h"
#include "supervision/task_scope.h"
#include "supervision/testing/event_loop.h"

namespace citronferry::fleet {

/// Provides the context of an entry with an in-memory store. The other platform services are stubs.
class FleetTest : public ::testing::Test {
 protected:
  explicit FleetTest(std::unique_ptr<TimerService> timers = MakeQtTimerService())
      : m_timers(std::move(timers)) {
    TestApplication();
  }

  /// Processes events until a task has ended.
  /// @return the result of the task.
  template <typename T>
  T Await(QCoro::Task<T> task) {
    std::optional<T> result;
    TaskScope scope;
    scope.Spawn([&]() -> QCoro::Task<void> { result.emplace(co_await task); });
    EXPECT_TRUE(ProcessEventsUntil([&] { return result.has_value() && scope.running() == 0; }));
    return std::move(*result);
  }

  void Await(QCoro::Task<void> task) {
    TaskScope scope;
    scope.Spawn([&]() -> QCoro::Task<void> { co_await task; });
    EXPECT_TRUE(ProcessEventsUntil([&] { return scope.running() == 0; }));
  }

  QCoro::Task<void> Wait(Duration duration) { co_await SleepFor(*m_timers, duration); }

  class StubAnnouncements : public Announcements {
   public:
    QCoro::Task<RetVal<OperatorChanges>> ReadOperator() override { co_return OperatorChanges{}; }
    QCoro::Task<RetVal<OperatorChanges>> FollowOperator(int64_t, Duration) override {
      co_return OperatorChanges{};
    }
    QCoro::Task<RetVal<RegistryChanges>> ReadRegistry() override { co_return RegistryChanges{}; }
    QCoro::Task<RetVal<RegistryChanges>> FollowRegistry(int64_t, Duration) override {
      co_return RegistryChanges{};
    }
    QCoro::Task<Ret> PublishWave(int64_t, bool) override { co_return MakeOk(); }
  };
  class StubExecutors : public Executors {
   public:
    QCoro::Task<HoldResult> Hold(ExecutorAddress, HoldCall) override { co_return HoldResult{}; }
    QCoro::Task<StartResult> Start(ExecutorAddress, StartCall) override { co_return StartResult{}; }
    QCoro::Task<scheduling::StopAnswer> Stop(ExecutorAddress, scheduling::StopOrder, int64_t,
                                             Duration) override {
      co_return scheduling::StopAnswer::kUnknown;
    }
    QCoro::Task<Ret> Pace(ExecutorAddress, scheduling::PaceOrder, int64_t, Duration) override {
      co_return MakeOk();
    }
  };
  class StubAdviser : public PlacementAdviser {
   public:
    QCoro::Task<RetVal<Advice>> Advise(scheduling::TaskId, std::vector<scheduling::ExecutorId>,
                                       Duration) override {
      co_return Advice{};
    }
  };
  class StubInstances : public Instances {
   public:
    QCoro::Task<RetVal<std::vector<Instance>>> List() override {
      std::vector<Instance> copy = listed;
      co_return copy;
    }
    QCoro::Task<InstanceOrderOutcome> Move(InstanceId, PoolName, OrderIssuer) override {
      co_return InstanceOrderOutcome::kUnknown;
    }
    QCoro::Task<InstanceOrderOutcome> StartMaintenance(InstanceId, int64_t, OrderIssuer) override {
      co_return InstanceOrderOutcome::kUnknown;
    }

    std::vector<Instance> listed;
  };
  class StubClients : public ClientProtocol {
   public:
    std::variant<CallHead, CallError> DecodeHead(const http::Request&,
                                                 const Configuration&) const override {
      return CallError{};
    }
    std::variant<CallAction, CallError> Decode(const http::Request&,
                                               const CallHead&) const override {
      return CallError{};
    }
    http::Response Encode(CallOutcome, Duration) const override { return {}; }
    http::Response EncodeState(scheduling::JobState) const override { return {}; }
    http::Response EncodePending(int64_t) const override { return {}; }
    http::Response EncodeError(const CallError&) const override { return {}; }
  };

  const std::unique_ptr<TimerService> m_timers;
  Metrics m_metrics;
  FleetOptions m_options{.name = "entry-1", .incarnation = "life-1"};
  FakeRowStore m_rows;
  StubAnnouncements m_announcements;
  StubExecutors m_executors;
  StubAdviser m_adviser;
  StubInstances m_instances;
  StubClients m_clients;
  PlatformServices m_platform{.rows = m_rows,
                              .announcements = m_announcements,
                              .executors = m_executors,
                              .adviser = m_adviser,
                              .instances = m_instances,
                              .clients = m_clients};
  FleetContext m_context{
      .options = m_options, .timers = *m_timers, .metrics = m_metrics, .platform = m_platform};
};

}  // namespace citronferry::fleet

#endif  // CITRONFERRY_FLEET_TESTS_FLEET_FIXTURE_H_
