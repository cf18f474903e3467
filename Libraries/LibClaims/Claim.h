#pragma once

#include <LibClaims/Digest.h>
#include <LibCore/Identifiers.h>
#include <LibCore/Random.h>
#include <LibCore/Time.h>
#include <LibRejection/Refusal.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Briarbend::Claims
{

/// One submission's try to run a key, unique over all instances and times: 128 random bits.
struct AttemptId {
    std::uint64_t high{0};
    std::uint64_t low{0};

    auto operator<=>(const AttemptId &) const = default;
};

/// The source must be seeded from the system's entropy outside of tests.
AttemptId newAttemptId(Core::Random &random);

/// A target's whole answer, kept for repeats of the request.
struct RecordedAnswer {
    unsigned status{0};
    std::vector<Rejection::HeaderField> fields;
    std::string body;

    bool operator==(const RecordedAnswer &) const = default;
};

enum class ClaimState : std::uint8_t {
    /// The attempt may be sent, may have been sent, and may still be running. Never evicted, whatever its age.
    Claimed = 0,
    /// The attempt ran and its answer is kept.
    Answered = 1,
    /// The attempt ran, and its answer was too large to be kept.
    AnswerNotKept = 2,
    /// The attempt was sent and its outcome cannot be learnt any more.
    OutcomeUnknown = 3,
    /// The attempt gave its claim back, and certainly was not run and will not be. Another attempt may claim the key.
    Released = 4,
};

/// What the store remembers of one key.
///
/// Invariant: a key passes from one attempt to another only through Released, and only the attempt itself moves its claim there. An
/// instance that was frozen with a granted claim may therefore send at any later time: no other attempt can have run the key.
struct Claim {
    Digest requestDigest;
    AttemptId attempt;
    Core::InstanceId instance;
    /// Start of the window in which repeats are recognized.
    Core::WallTime created;
    ClaimState state{ClaimState::Claimed};
    /// Present in the state Answered only.
    std::optional<RecordedAnswer> answer;
    /// Latest attempts that gave the key back, newest last. Their late claims are turned away.
    std::vector<AttemptId> releasedAttempts;

    bool operator==(const Claim &) const = default;
};

} // namespace Briarbend::Claims
