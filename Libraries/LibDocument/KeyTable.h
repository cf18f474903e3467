#pragma once

#include <LibDocument/TableReader.h>
#include <LibDocument/ValueType.h>

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Briarbend::Document
{

enum class Presence {
    Optional,
    Required,
};

/// One key as people read about it.
struct KeyDescription {
    std::string name;
    /// Type, unit and range.
    std::string allowed;
    /// As written in TOML; empty where the key is required or has no default.
    std::string defaultText;
    std::string meaning;
    Presence presence{Presence::Optional};
};

/// One key of a table that fills a struct: the same entry reads the value, words the errors and writes the reference page.
template<typename Owner>
struct Key {
    KeyDescription description;
    /// False where the node is not allowed; the owner is then unchanged.
    std::function<bool(Owner &, const toml::node &)> read;
};

template<typename Owner>
using KeyTable = std::vector<Key<Owner>>;

/// A key that fills a member. The default is the one of the struct itself.
template<typename Owner, typename Value>
Key<Owner> key(std::string name, Value Owner::*member, ValueType<Value> type, std::string meaning, Presence presence = Presence::Optional)
{
    auto defaultText = presence == Presence::Required ? std::string{} : type.print(Owner{}.*member);
    return {.description = {std::move(name), type.allowed, std::move(defaultText), std::move(meaning), presence},
            .read = [member, type = std::move(type)](Owner &owner, const toml::node &node) {
                auto value = type.read(node);
                if (value) {
                    owner.*member = std::move(*value);
                }
                return value.has_value();
            }};
}

/// A key without a default: the member stays empty where the key is absent.
template<typename Owner, typename Value>
Key<Owner> key(std::string name, std::optional<Value> Owner::*member, ValueType<Value> type, std::string meaning)
{
    return {.description = {std::move(name), type.allowed, {}, std::move(meaning), Presence::Optional},
            .read = [member, type = std::move(type)](Owner &owner, const toml::node &node) {
                owner.*member = type.read(node);
                return (owner.*member).has_value();
            }};
}

/// Fills the owner from the table. Reports values that are not allowed, required keys that are missing, and every key that neither the
/// table of keys nor the list of sub-tables names.
template<typename Owner>
void readTable(const TableReader &reader, const KeyTable<Owner> &keys, Owner &owner, std::vector<std::string> subtables = {})
{
    auto known = std::move(subtables);
    for (const auto &key : keys) {
        known.push_back(key.description.name);
        const auto *node = reader.find(key.description.name);
        if (node == nullptr) {
            if (key.description.presence == Presence::Required) {
                reader.reportMissing(key.description.name, key.description.allowed);
            }
        } else if (!key.read(owner, *node)) {
            reader.report(*node, key.description.name, key.description.allowed);
        }
    }
    reader.reportUnknownKeys(known);
}

} // namespace Briarbend::Document
