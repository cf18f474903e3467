#pragma once

#include <LibCoordination/PeerLink.h>
#include <LibGateway/GatewayState.h>
#include <LibGateway/UsageInterfaces.h>
#include <LibGateway/UsageMessage.h>

namespace Briarbend::Gateway
{

/// The clocks of the host.
struct HostClocks {
    std::function<Core::WallTime()> wall;
    /// Time since the host started, including time for which it was suspended.
    std::function<std::chrono::nanoseconds()> boot;
};

HostClocks hostClocks();

/// Counts the requests of tenants by window and sends the counts to two collectors. One of these holds the duty of reporting the sums to
/// the platform.
class UsageReporter
{
public:
    UsageReporter(GatewayState &state,
                  Core::TimerService &timers,
                  Coordination::PeerLink &peers,
                  DutyStore &store,
                  UsageEndpoint &endpoint,
                  HostClocks clocks = hostClocks());

    /// Sends the last counts and gives up the duty, for an instance that stops. Call it again if further requests were counted.
    void finish();

private:
    void tick();
    void receive(std::string_view bytes);
    void handle(const UsageCounts &counts);
    void handle(const UsageHolder &message);
    /// Selects the collectors again if the members have changed.
    void updateCollectors(Core::TimePoint now);
    void replaceCollectors(std::vector<Core::InstanceId> selected, Core::TimePoint now);
    /// Gives up the duty if this instance has not been a collector for a lease.
    void resignIfReplaced(Core::TimePoint now);
    void sendCountsWhenDue();
    void sendCounts(Duties::Repetition repetition);
    void announceHolding(bool isActing);
    void sendToCollectors(const UsageMessage &message);
    Duties::Situation situation() const;
    /// Makes the calls to the store and the endpoint that are due, one after the other.
    boost::asio::awaitable<void> work();
    boost::asio::awaitable<void> perform(Duties::ReadRecord);
    boost::asio::awaitable<void> perform(Duties::WriteRecord write);
    boost::asio::awaitable<void> perform(Duties::SendReport report);
    boost::asio::awaitable<void> perform(Duties::Wait);
    void recordResult(const Duties::SendReport &report, const Duties::CallResult &result);
    /// Logs what has changed since the last time.
    void recordProgress();
    std::optional<std::size_t> rank() const;
    bool isHolderAlive() const;
    Core::WallTime wallTime() const;
    /// Time for decisions on the duty; goes on while the host is suspended.
    Core::TimePoint dutyTime() const;

    GatewayState &state;
    Core::TimerService &timers;
    Coordination::PeerLink &peers;
    DutyStore &store;
    UsageEndpoint &endpoint;
    HostClocks clocks;
    Duties::WindowParameters windows;
    Duties::WindowClock clock;
    Duties::LocalCounts local;
    Duties::CountTable table;
    Duties::HolderState holder;
    std::optional<std::size_t> membersFingerprint;
    std::vector<Core::InstanceId> collectors;
    /// Collectors that were replaced lately. One of them may still hold the duty.
    std::vector<Core::InstanceId> formerCollectors;
    Core::TimePoint formerCollectorsUntil;
    /// Since when this instance holds the duty without being a collector.
    std::optional<Core::TimePoint> replacedSince;
    Duties::WindowIndex completeFrom{Duties::NO_WINDOW};
    /// Delay of this instance's messages with counts, so that not all instances send at the same moment.
    std::chrono::milliseconds sendDelay;
    std::int64_t lastPart{0};
    bool mustSendAll{false};
    std::uint64_t sequence{0};
    Core::TimePoint announcedAt;
    Core::TimePoint lastTick;
    bool isWorking{false};
    bool isFinished{false};
    bool wasHolding{false};
    std::uint64_t skippedBefore{0};
    std::unique_ptr<Core::TimerSubscription> ticking;
};

} // namespace Briarbend::Gateway
