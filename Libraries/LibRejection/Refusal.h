#pragma once

#include <LibCore/Random.h>
#include <LibRejection/Reason.h>
#include <LibRejection/RequestProgress.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace Briarbend::Rejection
{

/// What the instance knows about earlier submissions of the same request.
enum class EarlierSubmissions {
    /// The route does not identify requests, so each submission is independent.
    NotIdentified,
    /// The route runs requests at most once, and the claims on its key were not read. An earlier submission may have run.
    Unknown,
    /// The claims show that no submission of the key ran: this submission held the claim, or the key has no claim.
    NoneRan,
};

/// A final answer that Briarbend generates itself, before it is converted to HTTP.
struct Refusal {
    Reason reason{Reason::InternalError};
    /// Progress of this submission over all of its attempts. The furthest attempt with an unknown outcome decides.
    RequestProgress progress{RequestProgress::NotSent};
    EarlierSubmissions earlier{EarlierSubmissions::NotIdentified};
    /// For reasons with RetryAfterRule::FromRefusal; one second if not set.
    std::optional<std::chrono::milliseconds> retryAfter{};
    /// Human-readable explanation of this occurrence. May be empty.
    std::string detail{};
};

/// Whether a target ran the request.
enum class RunStatus {
    /// Certainly no target ran it.
    No,
    /// A target may have run it or may still run it.
    Unknown,
};

/// The run status that the refusal may state. `No` requires that the reason, the progress and the knowledge of earlier submissions all
/// permit it, since a caller may react to `No` by submitting the same work under another key.
RunStatus runStatus(const Refusal &refusal);

/// Value of the Retry-After field in whole seconds, rounded up and at least one (RFC 9110, section 10.2.3); nothing if the reason has
/// none.
std::optional<std::chrono::seconds> retryAfter(const Refusal &refusal);

/// Adds jitter, so that callers that were refused together do not retry together: uniform in [delay, 1.5 * delay].
std::chrono::milliseconds withJitter(std::chrono::milliseconds delay, Core::Random &random);

struct HeaderField {
    std::string name;
    std::string value;

    bool operator==(const HeaderField &) const = default;
};

/// A complete answer, ready to be written to a caller.
struct FinalAnswer {
    unsigned status{500};
    std::vector<HeaderField> fields;
    std::string body;
};

/// Name of the field that states, as a structured boolean (RFC 8941, section 3.3.6), that no target ran the request. It is sent only if
/// that is certain, and never with a false value.
inline constexpr std::string_view REQUEST_NOT_RUN_FIELD = "Request-Not-Run";

/// The answer to the caller: problem details (RFC 9457) with the members `reason`, `run` ("no" or "unknown") and `sent` (whether
/// this submission reached a target), and the fields Content-Type, Cache-Control, Proxy-Status (RFC 9209), Retry-After,
/// WWW-Authenticate and Request-Not-Run. The instance name becomes the first member of Proxy-Status.
FinalAnswer finalAnswer(const Refusal &refusal, std::string_view instanceName);

} // namespace Briarbend::Rejection
