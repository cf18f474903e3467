#pragma once

#include <LibConfiguration/Model.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Briarbend::Rollout
{

enum class Phase : std::uint8_t {
    /// The start lies in the future: the new version gets no traffic.
    Waiting = 0,
    /// The new version gets the trial share.
    Trial = 1,
    /// The share grows step by step.
    Ramping = 2,
    /// The new version gets all traffic.
    Done = 3,
    /// The new version gets no traffic any more. Takes precedence over every other phase in a merge.
    RolledBack = 4,
};

/// Why a version was rolled back.
enum class Fault : std::uint8_t {
    None = 0,
    Failures = 1,
    Slowness = 2,
    /// Too few fast successes, compared with the old version, by the time at which the share has to grow.
    Unproven = 3,
};

/// State of one rollout, kept in the store and exchanged by peers. Merging is commutative, associative and idempotent: a rollback takes
/// precedence, otherwise the further step wins.
struct Status {
    Core::ServiceName service;
    Core::VersionName from;
    Core::VersionName to;
    /// Start of the rollout. Together with the versions it distinguishes one rollout from a later one.
    Core::WallTime start;
    Phase phase{Phase::Waiting};
    /// Index in Settings::steps while ramping.
    std::uint32_t step{0};
    /// Wall clock time at which the phase or step was reached. For operators only.
    Core::WallTime since;
    Fault fault{Fault::None};
    /// The route on which the fault was found. Empty for all routes together.
    std::string faultRoute;
    /// An evaluator has found that the new version serves about as well as the old one.
    bool isProven{false};

    bool operator==(const Status &) const = default;
};

bool isSameRollout(const Status &one, const Status &other);

/// Merges two statuses. Statuses of different rollouts are not merged: the one that starts later wins.
Status merge(const Status &one, const Status &other);

/// Store key of a rollout's status.
std::string statusStoreKey(const Core::ServiceName &service);

/// JSON text, as it is stored and read by operators.
std::string encodeStatus(const Status &status);
/// Throws CodecError.
Status decodeStatus(const std::string &text);

const char *nameOf(Phase phase);
const char *nameOf(Fault fault);

} // namespace Briarbend::Rollout
