#include <LibCore/BoundedJson.h>
#include <LibGateway/UsageMessage.h>

#include <LibTenants/TenantTable.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace Briarbend::Gateway
{

namespace
{

using Json = nlohmann::json;

/// Identifies the alternative of UsageMessage; the first value of a message.
enum class MessageTag {
    Counts,
    Holder,
};

/// Far above what an instance can count in a window. Keeps the sum over all instances from overflowing.
constexpr std::uint64_t MAXIMUM_COUNT = 1'000'000'000;
/// Leaves room for the steps to greater tokens.
constexpr std::uint64_t MAXIMUM_TOKEN = std::uint64_t{1} << 62U;

Json encodeWindow(const Duties::WindowCounts &window)
{
    auto rows = Json::array();
    std::ranges::transform(window.counts, std::back_inserter(rows), [](const auto &entry) {
        return Json::array({entry.first, entry.second});
    });
    return Json::array({window.window, std::move(rows)});
}

std::uint64_t decodeNumber(const Json &value, std::uint64_t maximum)
{
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > maximum) {
        throw std::invalid_argument("number out of range");
    }
    return value.get<std::uint64_t>();
}

std::string decodeTenant(const Json &value)
{
    auto name = value.get<std::string>();
    if (!Tenants::isValidName(name)) {
        throw std::invalid_argument("not a tenant's name");
    }
    return name;
}

Duties::WindowCounts decodeWindow(const Json &row)
{
    Duties::WindowCounts window{.window = row.at(0).get<Duties::WindowIndex>(), .counts = {}};
    for (const auto &entry : row.at(1)) {
        window.counts.insert_or_assign(decodeTenant(entry.at(0)), decodeNumber(entry.at(1), MAXIMUM_COUNT));
    }
    return window;
}

struct MessageEncoder {
    Json operator()(const UsageCounts &counts) const
    {
        auto windows = Json::array();
        std::ranges::transform(counts.windows, std::back_inserter(windows), encodeWindow);
        return Json::array({MessageTag::Counts, counts.reporter.value, counts.sequence, std::move(windows)});
    }

    Json operator()(const UsageHolder &holder) const
    {
        return Json::array({MessageTag::Holder, holder.token, holder.isActing});
    }
};

} // namespace

std::string encodeUsage(const UsageMessage &message)
{
    std::string bytes;
    Json::to_cbor(std::visit(MessageEncoder{}, message), bytes);
    return bytes;
}

UsageMessage decodeUsage(std::string_view bytes)
{
    const auto row = Core::parseCbor(bytes);
    switch (row.at(0).get<MessageTag>()) {
    case MessageTag::Counts: {
        UsageCounts counts{.reporter = {row.at(1).get<std::string>()}, .sequence = row.at(2).get<std::uint64_t>(), .windows = {}};
        std::ranges::transform(row.at(3), std::back_inserter(counts.windows), decodeWindow);
        return counts;
    }
    case MessageTag::Holder:
        return UsageHolder{.token = decodeNumber(row.at(1), MAXIMUM_TOKEN), .isActing = row.at(2).get<bool>()};
    }
    throw std::invalid_argument("unknown message");
}

} // namespace Briarbend::Gateway
