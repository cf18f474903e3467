#include <LibDocument/Reference.h>

#include <sstream>

namespace Briarbend::Document
{

namespace
{

std::string defaultOf(const KeyDescription &key)
{
    if (key.presence == Presence::Required) {
        return "required";
    }
    return key.defaultText.empty() ? "none" : "`" + key.defaultText + "`";
}

} // namespace

std::string formatReference(const std::vector<TableDescription> &tables)
{
    std::ostringstream text;
    for (const auto &table : tables) {
        text << "\n## `" << table.heading << "`\n\n" << table.meaning << "\n";
        if (table.keys.empty()) {
            continue;
        }
        text << "\n| key | allowed | default | meaning |\n| --- | --- | --- | --- |\n";
        for (const auto &key : table.keys) {
            text << "| `" << key.name << "` | " << key.allowed << " | " << defaultOf(key) << " | " << key.meaning << " |\n";
        }
    }
    return text.str();
}

} // namespace Briarbend::Document
