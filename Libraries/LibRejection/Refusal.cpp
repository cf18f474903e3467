#include <LibRejection/Refusal.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Briarbend::Rejection
{

namespace
{

constexpr std::chrono::seconds MINIMUM_RETRY_AFTER{1};
constexpr double JITTER_SHARE = 0.5;
constexpr std::string_view PROBLEM_TYPE_PREFIX = "urn:problem-type:briarbend:";

bool isPrintableAscii(char character)
{
    return character >= ' ' && character <= '~';
}

/// A structured string, RFC 8941 section 3.3.3: printable ASCII with quotes and backslashes escaped.
std::string structuredString(std::string_view text)
{
    std::string quoted{"\""};
    for (const auto character : text) {
        if (!isPrintableAscii(character)) {
            continue;
        }
        if (character == '"' || character == '\\') {
            quoted += '\\';
        }
        quoted += character;
    }
    return quoted + '"';
}

bool provesNotRun(const Refusal &refusal)
{
    switch (reasonTraits(refusal.reason).run) {
    case RunRule::NeverSent:
        return refusal.progress == RequestProgress::NotSent;
    case RunRule::FromProgress:
        return isCertainlyNotRun(refusal.progress);
    case RunRule::MayHaveRun:
        return false;
    }
    return false;
}

} // namespace

RunStatus runStatus(const Refusal &refusal)
{
    const auto isCertain = provesNotRun(refusal) && refusal.earlier != EarlierSubmissions::Unknown;
    return isCertain ? RunStatus::No : RunStatus::Unknown;
}

std::optional<std::chrono::seconds> retryAfter(const Refusal &refusal)
{
    switch (reasonTraits(refusal.reason).retryAfter) {
    case RetryAfterRule::None:
        return std::nullopt;
    case RetryAfterRule::Minimum:
        return MINIMUM_RETRY_AFTER;
    case RetryAfterRule::FromRefusal:
        return std::max(MINIMUM_RETRY_AFTER, std::chrono::ceil<std::chrono::seconds>(refusal.retryAfter.value_or(MINIMUM_RETRY_AFTER)));
    }
    return std::nullopt;
}

std::chrono::milliseconds withJitter(std::chrono::milliseconds delay, Core::Random &random)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(delay * (1.0 + JITTER_SHARE * random.unit()));
}

FinalAnswer finalAnswer(const Refusal &refusal, std::string_view instanceName)
{
    const auto &properties = reasonTraits(refusal.reason);
    const auto isNotRun = runStatus(refusal) == RunStatus::No;

    nlohmann::json problem{
        {"type", std::string{PROBLEM_TYPE_PREFIX}.append(properties.name)},
        {"title", properties.title},
        {"status", properties.status},
        {"reason", properties.name},
        {"run", isNotRun ? "no" : "unknown"},
        {"sent", refusal.progress != RequestProgress::NotSent},
    };
    if (!refusal.detail.empty()) {
        problem["detail"] = refusal.detail;
    }

    FinalAnswer answer{.status = properties.status, .fields = {}, .body = {}};
    // The detail may quote the request, so invalid UTF-8 is replaced instead of causing an exception.
    answer.body = problem.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    answer.fields.push_back({"Content-Type", "application/problem+json"});
    answer.fields.push_back({"Cache-Control", "no-store"});
    answer.fields.push_back({"Proxy-Status", structuredString(instanceName) + "; error=" + std::string{properties.proxyError}});
    if (const auto delay = retryAfter(refusal)) {
        answer.fields.push_back({"Retry-After", std::to_string(delay->count())});
    }
    if (!properties.challenge.empty()) {
        answer.fields.push_back({"WWW-Authenticate", std::string{properties.challenge}});
    }
    if (isNotRun) {
        answer.fields.push_back({std::string{REQUEST_NOT_RUN_FIELD}, "?1"});
    }
    return answer;
}

} // namespace Briarbend::Rejection
