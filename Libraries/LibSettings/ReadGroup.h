#pragma once

#include <LibDocument/KeyTable.h>
#include <LibDocument/TableReader.h>

namespace Briarbend::Settings
{

/// Reads one table of a settings file; where it is absent as a whole, reports its required keys.
template<typename Owner>
void readGroup(const Document::TableReader &root, std::string_view name, const Document::KeyTable<Owner> &keys, Owner &owner)
{
    if (const auto table = root.subtable(name)) {
        Document::readTable(*table, keys, owner);
    } else if (root.find(name) == nullptr) {
        // Reports the required keys of a table that is absent as a whole.
        const toml::table empty;
        const Document::TableReader absent = Document::TableReader(empty, std::string(name), root.problemList());
        Document::readTable(absent, keys, owner);
    }
}

} // namespace Briarbend::Settings
