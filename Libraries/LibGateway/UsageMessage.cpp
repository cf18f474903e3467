#include <LibCore/BoundedJson.h>
#include <LibGateway/UsageMessage.h>

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

Json encodeWindow(const Duties::WindowCounts &window)
{
    auto rows = Json::array();
    std::ranges::transform(window.counts, std::back_inserter(rows), [](const auto &entry) {
        return Json::array({entry.first, entry.second});
    });
    return Json::array({window.window, std::move(rows)});
}

Duties::WindowCounts decodeWindow(const Json &row)
{
    Duties::WindowCounts window{.window = row.at(0).get<Duties::WindowIndex>(), .counts = {}};
    for (const auto &entry : row.at(1)) {
        window.counts.insert_or_assign(entry.at(0).get<std::string>(), entry.at(1).get<std::uint64_t>());
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
        return UsageHolder{.token = row.at(1).get<std::uint64_t>(), .isActing = row.at(2).get<bool>()};
    }
    throw std::invalid_argument("unknown message");
}

} // namespace Briarbend::Gateway
