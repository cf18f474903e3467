#include <LibClaims/IdempotencyKey.h>
#include <LibRelay/HeaderRules.h>
#include <LibRelay/RequestFields.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace Briarbend::Relay
{

namespace
{

constexpr std::size_t REQUEST_ID_DIGITS = 16;
constexpr std::size_t MAXIMUM_REQUEST_ID_BYTES = 128;

std::string hexadecimal(std::uint64_t value)
{
    std::string text(REQUEST_ID_DIGITS, '0');
    std::array<char, REQUEST_ID_DIGITS> digits{};
    const auto written = std::to_chars(digits.data(), digits.data() + digits.size(), value, 16);
    const auto length = written.ptr - digits.data();
    std::copy(digits.data(), written.ptr, text.end() - length);
    return text;
}

} // namespace

std::string requestIdOf(const Http::request_header<> &head, Core::Random &random)
{
    const auto given = head[std::string(REQUEST_ID_FIELD)];
    const bool isUsable = !given.empty() && given.size() <= MAXIMUM_REQUEST_ID_BYTES;
    return isUsable ? std::string(given) : hexadecimal(random.bits());
}

std::optional<std::string> idempotencyKeyOf(const Http::request_header<> &head)
{
    std::vector<std::string_view> values;
    const auto range = head.equal_range("Idempotency-Key");
    std::transform(range.first, range.second, std::back_inserter(values), [](const auto &field) {
        return std::string_view(field.value().data(), field.value().size());
    });
    return Claims::parseIdempotencyKey(values);
}

Core::TimePoint deadlineOf(const Http::request_header<> &head, const Configuration::Route &route, Core::TimePoint arrivedAt)
{
    const auto text = head[std::string(DEADLINE_FIELD)];
    std::uint32_t milliseconds = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    const bool isGiven = !text.empty() && parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size();
    const auto allowed = isGiven ? std::min(route.deadline, std::chrono::milliseconds(milliseconds)) : route.deadline;
    return arrivedAt + allowed;
}

Quarantine::Fingerprint fingerprintOf(const ForwardedRequest &request, std::uint64_t bodyLength)
{
    const auto method = request.head.method_string();
    const auto target = request.head.target();
    return Quarantine::fingerprintOf({method.data(), method.size()}, {target.data(), target.size()}, bodyLength, request.body);
}

} // namespace Briarbend::Relay
