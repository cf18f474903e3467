#include <LibConfiguration/StoredSection.h>
#include <LibCore/BoundedJson.h>

#include <LibConfiguration/SectionReader.h>

#include <LibDocument/DocumentProblem.h>

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace Briarbend::Configuration
{

std::string sectionKey(const Core::TeamName &team)
{
    return std::string(SECTION_KEY_PREFIX) + team.value;
}

Core::TeamName teamOfSectionKey(std::string_view key)
{
    if (!key.starts_with(SECTION_KEY_PREFIX)) {
        throw std::invalid_argument("\"" + std::string(key) + "\" is no key of a section");
    }
    return {std::string(key.substr(SECTION_KEY_PREFIX.size()))};
}

std::string formatStoredSection(const StoredSection &section)
{
    return nlohmann::json{{"edit", section.edit}, {"text", section.text}}.dump();
}

StoredSection parseStoredSection(std::string_view value, const std::string &name)
{
    try {
        const auto json = Core::parseJson(value);
        return {.edit = json.at("edit").get<std::string>(), .text = json.at("text").get<std::string>()};
    } catch (const nlohmann::json::exception &exception) {
        throw Document::DocumentError({{name, 0, "", exception.what(), "a JSON object with the texts edit and text"}});
    }
}

Section readStoredSection(const Core::TeamName &team, std::string_view value, std::uint64_t storeVersion)
{
    const auto name = sectionKey(team);
    return parseSection(team, parseStoredSection(value, name).text, storeVersion, name);
}

} // namespace Briarbend::Configuration
