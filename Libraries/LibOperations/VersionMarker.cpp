#include <LibOperations/VersionMarker.h>

#include <charconv>
#include <ranges>

namespace Briarbend::Operations
{

namespace
{

constexpr std::string_view MARKER{"# briarctl: team "};

} // namespace

std::string versionMarker(const Core::TeamName &team, Store::Version version)
{
    return std::string(MARKER) + team.value + " at version " + std::to_string(version) + "\n";
}

std::optional<Store::Version> findVersionMarker(std::string_view document, const Core::TeamName &team)
{
    const auto prefix = std::string(MARKER) + team.value + " at version ";
    for (const auto &part : document | std::views::split('\n')) {
        const std::string_view line(part.begin(), part.end());
        if (!line.starts_with(prefix)) {
            continue;
        }
        Store::Version version = 0;
        const auto parsed = std::from_chars(line.data() + prefix.size(), line.data() + line.size(), version);
        if (parsed.ec == std::errc{}) {
            return version;
        }
    }
    return std::nullopt;
}

std::string withoutVersionMarkers(std::string_view text)
{
    std::string kept;
    while (!text.empty()) {
        const auto line = text.substr(0, std::min(text.find('\n'), text.size() - 1) + 1);
        if (!line.starts_with(MARKER)) {
            kept += line;
        }
        text.remove_prefix(line.size());
    }
    return kept;
}

} // namespace Briarbend::Operations
