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
    /// The route does not identify requests: each submission stands for itself.
    NotIdentified,
    /// The route runs requests at most once, and the claims on its key were not read. An earlier submission may have run.
    Unknown,
    /// The claims show that no submission of the key ran: this submission held the claim, or the key has no claim.
    NoneRan,
};

/// One final answer in this system's own name, before it is put into HTTP.
struct Refusal {
    Reason reason{Reason::InternalError};
    /// Progress of this submission, over all of its attempts: the furthest one whose outcome is unknown decides.
    RequestProgress progress{RequestProgress::NotSent};
    EarlierSubmissions earlier{EarlierSubmissions::NotIdentified};
    /// For reasons with RetryAfterRule::FromRefusal; one second where missing.
    std::optional<std::chrono::milliseconds> retryAfter{};
    /// Explanation of this occurrence for people. May be empty.
    std::string detail{};
};

/// Whether the request ran.
enum class RunStatus {
    /// Certain: no target ran it.
    No,
    /// A target may have run it, or may still.
    Unknown,
};

/// What the refusal may say. `No` needs a reason, a progress and knowledge of earlier submissions that each allow it: a caller may
/// take `No` as leave to submit the same work under another key.
RunStatus runStatus(const Refusal &refusal);

/// Value of the Retry-After field in whole seconds, rounded up and at least one (RFC 9110, section 10.2.3); nothing where the reason
/// has none.
std::optional<std::chrono::seconds> retryAfter(const Refusal &refusal);

/// Spreads the return of callers that were refused together: uniform in [delay, 1.5 * delay].
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

/// Name of the field that says, as a structured boolean (RFC 8941, section 3.3.6), that no target ran the request. Sent only where
/// that is certain, never with a false value.
inline constexpr std::string_view REQUEST_NOT_RUN_FIELD = "Request-Not-Run";

/// The answer to the caller: problem details (RFC 9457) with the members `reason`, `run` ("no" or "unknown") and `sent` (whether
/// this submission reached a target), and the fields Content-Type, Cache-Control, Proxy-Status (RFC 9209), Retry-After and
/// Request-Not-Run. The instance name becomes the first member of Proxy-Status.
FinalAnswer finalAnswer(const Refusal &refusal, std::string_view instanceName);

} // namespace Briarbend::Rejection
