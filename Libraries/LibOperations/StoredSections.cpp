#include <LibOperations/StoredSections.h>

#include <LibConfiguration/SectionReader.h>
#include <LibDocument/DocumentProblem.h>
#include <LibOperations/VersionMarker.h>

#include <algorithm>

namespace Briarbend::Operations
{

boost::asio::awaitable<SectionObjects> readStoredSections(Store::ObjectStore &store)
{
    const std::string prefix(Configuration::SECTION_KEY_PREFIX);
    const auto listed = co_await store.list(prefix);
    if (const auto *unavailable = std::get_if<Store::Unavailable>(&listed)) {
        co_return *unavailable;
    }
    std::vector<SectionObject> sections;
    for (const auto &entry : std::get<Store::Listing>(listed).objects) {
        const auto result = co_await store.read(entry.key);
        if (const auto *unavailable = std::get_if<Store::Unavailable>(&result)) {
            co_return *unavailable;
        }
        if (const auto *object = std::get_if<Store::Object>(&result)) {
            sections.push_back(readSectionObject(entry.key, *object));
        }
    }
    std::ranges::sort(sections, {}, &SectionObject::team);
    co_return sections;
}

SectionObject readSectionObject(const std::string &key, const Store::Object &object)
{
    SectionObject section{.team = Configuration::teamOfSectionKey(key), .version = object.version, .stored = {}, .problem = {}};
    try {
        section.stored = Configuration::parseStoredSection(object.value, key);
    } catch (const Document::DocumentError &error) {
        section.problem = error.what();
    }
    return section;
}

Configuration::Sections acceptedSections(const std::vector<SectionObject> &objects)
{
    Configuration::Sections sections;
    for (const auto &object : objects) {
        try {
            const auto name = Configuration::sectionKey(object.team);
            sections.emplace(object.team, Configuration::parseSection(object.team, object.stored.text, object.version, name));
        } catch (const Document::DocumentError &) {
            continue;
        }
    }
    return sections;
}

std::string printSection(const SectionObject &object)
{
    const auto text = object.problem.empty() ? object.stored.text : "# " + object.problem + "\n";
    return versionMarker(object.team, object.version) + text;
}

} // namespace Briarbend::Operations
