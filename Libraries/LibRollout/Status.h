#pragma once

#include <LibConfiguration/Model.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Briarbend::Rollout
{

enum class Phase : std::uint8_t {
    /// The start lies ahead: the new version gets nothing.
    Waiting = 0,
    /// The new version gets the trial share.
    Trial = 1,
    /// The share grows step by step.
    Ramping = 2,
    /// The new version gets everything.
    Done = 3,
    /// The new version gets nothing any more. Absorbs every other phase.
    RolledBack = 4,
};

/// Why a version was taken back.
enum class Fault : std::uint8_t {
    None = 0,
    Failures = 1,
    Slowness = 2,
    /// Too few good responses, against those of the old version, by the time at which the share has to grow.
    Unproven = 3,
};

/// What is known of one move, kept in the store and spread by peers. Merging is commutative, associative and idempotent: taken back
/// absorbs, else the further step wins.
struct Status {
    Core::ServiceName service;
    Core::VersionName from;
    Core::VersionName to;
    /// Start of the move. Together with the versions it tells one move from a later one.
    Core::WallTime start;
    Phase phase{Phase::Waiting};
    /// Position in Settings::steps while ramping.
    std::uint32_t step{0};
    /// Wall time at which the phase or step was reached, for operators only.
    Core::WallTime since;
    Fault fault{Fault::None};
    /// The route that showed the fault.
    std::string faultRoute;

    bool operator==(const Status &) const = default;
};

bool isSameRollout(const Status &one, const Status &other);

/// The status that both agree on. Statuses of different moves do not merge: the one that starts later wins.
Status merge(const Status &one, const Status &other);

/// Store key of a move's status.
std::string statusStoreKey(const Core::ServiceName &service);

/// JSON text, as stored and as read by operators.
std::string encodeStatus(const Status &status);
/// Throws CodecError.
Status decodeStatus(const std::string &text);

const char *nameOf(Phase phase);
const char *nameOf(Fault fault);

} // namespace Briarbend::Rollout
