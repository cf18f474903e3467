#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>
#include <LibLimits/RateQuota.h>

#include <cstdint>
#include <optional>
#include <vector>

/// Rate limits that targets state for the requests of all instances together. Each instance knows the other members, though not always the
/// same ones; nobody hands out permits.
namespace Briarbend::Fleet
{

/// The instances among which a target's rate is divided, as this instance knows them.
struct RateSharers {
    Core::InstanceId self;
    /// Running instances, this one included.
    std::vector<Core::InstanceId> members;
    /// Those of the own data centre, which tell each other of rates, this one included.
    std::vector<Core::InstanceId> neighbours;
    /// Differs whenever the members do.
    std::size_t fingerprint{0};
    /// False in a new instance that does not know the others yet. It is no sender: alone it would take the whole rate.
    bool isComplete{true};
    /// Since when the others are known; the clock's epoch if no instance can have sent before this one.
    Core::TimePoint completeSince{};
    /// Members that are known, those included that may be out of reach.
    std::size_t known{0};
};

/// Time after which a limit that was not stated again is tried with one request. Instances that may not send to the target do not hear
/// otherwise that it needs no limit any more.
constexpr std::chrono::seconds RATE_LIMIT_LIFETIME{20};

/// Time between the trials of two instances of a data centre. The first one's result reaches the others within a second.
constexpr std::chrono::seconds RATE_TRIAL_INTERVAL{2};

/// Interval at which peers are told again of a rate that the target still states: several times within RATE_LIMIT_LIFETIME.
constexpr std::chrono::seconds RATE_SHARING_INTERVAL{5};

/// What one start of a target last stated, to this instance or to a peer that told of it.
struct StatedRate {
    /// Requests per second from all instances together. Zero: the target takes none.
    double requestsPerSecond{0};
    Core::TimePoint statedAt;
    /// When this instance last told its peers of it, or heard it from one.
    Core::TimePoint sharedAt;

    bool operator==(const StatedRate &) const = default;
};

/// This instance's part of a rate that the members share.
struct RateShare {
    Limits::RateQuota quota;
    /// The members of which `quota` was computed, and the rate. Not set while they are incomplete.
    std::optional<std::size_t> sharersFingerprint;
    double sharedRate{0};
};

/// A stated rate, and this instance's part of it.
struct RateLimit : RateShare {
    StatedRate rate;
    /// Number of instances of the data centre that try the target before this one once the rate is outdated.
    std::size_t trialRank{0};
    /// When this instance last tried the target with an outdated rate.
    Core::TimePoint lastTrialAt;
};

/// What one sender may send.
struct SenderShare {
    std::uint32_t permits{0};
    Core::Duration window{0};

    bool operator==(const SenderShare &) const = default;
};

/// Number of instances that may send to a target with this rate: a few more than requests per second, so that many instances have a part of
/// it, while what they can send at once stays near the rate.
std::size_t senderCount(double requestsPerSecond, std::size_t members);

/// What each of the senders of a target may send; no permits for a rate of zero.
SenderShare senderShare(double requestsPerSecond, std::size_t members);

/// True if the rate or the members have changed since the part was computed.
bool isOutdated(const RateShare &share, double requestsPerSecond, const RateSharers &sharers);

/// Sets the part. An instance that becomes a sender begins at the given time.
void setShare(RateShare &share, const SenderShare &part, Core::TimePoint openFrom, double requestsPerSecond, const RateSharers &sharers);

/// Updates the quota after a change of the rate or of the members. Instances that become senders begin one after the other within one
/// window, since those that they follow may just have sent.
void updateQuota(RateLimit &limit, const Core::TargetId &target, const RateSharers &sharers, Core::TimePoint now);

/// True if the limit was not stated for RATE_LIMIT_LIFETIME and it is this instance's turn to try the target.
bool isTrialDue(const RateLimit &limit, Core::TimePoint now);

/// When this instance may send again; for one that is no sender, when a sender may.
Core::TimePoint nextSendAt(const RateLimit &limit, Core::TimePoint now);

} // namespace Briarbend::Fleet
