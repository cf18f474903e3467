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

/// Identifies the attempt of one submission to run the request of a key; unique across all instances and over time: 128 random bits.
struct AttemptId {
    std::uint64_t high{0};
    std::uint64_t low{0};

    auto operator<=>(const AttemptId &) const = default;
};

/// Except in tests, `random` must be seeded from the system's entropy source.
AttemptId newAttemptId(Core::Random &random);

/// A target's complete answer, kept to replay it to repeats of the request.
struct RecordedAnswer {
    unsigned status{0};
    std::vector<Rejection::HeaderField> fields;
    std::string body;

    bool operator==(const RecordedAnswer &) const = default;
};

enum class ClaimState : std::uint8_t {
    /// The request may be sent, may have been sent, or may still be running. Never evicted, whatever its age.
    Claimed = 0,
    /// The request ran and its answer is kept.
    Answered = 1,
    /// The request ran and its answer was too large to be kept.
    AnswerNotKept = 2,
    /// The request was sent and its outcome can no longer be determined.
    OutcomeUnknown = 3,
    /// The attempt released its claim. Its request was not run and never will be, so another attempt may claim the key.
    Released = 4,
};

/// Stored state of one key.
///
/// Invariant: a key passes from one attempt to another only through the state Released, and only the attempt that holds a claim can
/// release it. An instance that was frozen while it held a granted claim may therefore send the request at any later time: no other
/// attempt can have run it.
struct Claim {
    Digest requestDigest;
    AttemptId attempt;
    Core::InstanceId instance;
    /// Start of the window in which repeats of the request are recognized.
    Core::WallTime created;
    ClaimState state{ClaimState::Claimed};
    /// Present only in the state Answered.
    std::optional<RecordedAnswer> answer;
    /// The latest attempts that released the key, newest last. Claims of theirs that arrive late are rejected.
    std::vector<AttemptId> releasedAttempts;

    bool operator==(const Claim &) const = default;
};

} // namespace Briarbend::Claims
