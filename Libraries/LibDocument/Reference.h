#pragma once

#include <LibDocument/KeyTable.h>

#include <string>
#include <vector>

namespace Briarbend::Document
{

/// One table of a document as people read about it.
struct TableDescription {
    /// As written in TOML, such as "[store]".
    std::string heading;
    std::string meaning;
    std::vector<KeyDescription> keys;
};

/// Describes a table from the same keys that read it.
template<typename Owner>
TableDescription describeTable(std::string heading, std::string meaning, const KeyTable<Owner> &keys)
{
    TableDescription description{.heading = std::move(heading), .meaning = std::move(meaning), .keys = {}};
    for (const auto &key : keys) {
        description.keys.push_back(key.description);
    }
    return description;
}

/// The reference part of an operators' page: a heading and a table of keys for each table of the document, in Markdown.
std::string formatReference(const std::vector<TableDescription> &tables);

} // namespace Briarbend::Document
