#pragma once

#include <LibDocument/DocumentProblem.h>

#include <optional>
#include <string>
#include <string_view>
#include <toml++/toml.h>
#include <vector>

namespace Briarbend::Document
{

/// Parses TOML. Throws a DocumentError with file, line and what the parser expected.
toml::table parseToml(std::string_view text, const std::string &file);

/// Reads a whole file. Throws a DocumentError where it can not be read.
std::string readFile(const std::string &file);

/// One table of a document together with its dotted path and the list that takes its problems. The document and the list outlive it.
class TableReader
{
public:
    TableReader(const toml::table &table, std::string path, ProblemList &problems);

    const std::string &path() const;
    /// The node of a key, null where absent.
    const toml::node *find(std::string_view key) const;
    /// The table under a key; nothing where absent, and also, with a problem reported, where the key holds anything else.
    std::optional<TableReader> subtable(std::string_view key) const;
    /// The tables below this one, in the order of their names, each with its name as the last part of its path. Reports keys that hold
    /// anything else and names outside [a-z0-9-].
    std::vector<TableReader> namedTables() const;
    /// The tables of an array of tables, in the document's order; empty where absent. Reports a key that holds anything else.
    std::vector<TableReader> tablesOf(std::string_view key) const;
    /// The last part of the path.
    std::string name() const;
    const toml::table &table() const;
    ProblemList &problemList() const;

    /// Reports the value of a key as not allowed.
    void report(const toml::node &node, std::string_view key, std::string allowed) const;
    /// Reports a problem that the values of several keys make together, at one of them; at the table itself where the key is empty.
    void report(std::string_view key, std::string found, std::string allowed) const;
    void reportMissing(std::string_view key, std::string allowed) const;
    void reportUnknownKeys(const std::vector<std::string> &known) const;

private:
    std::string pathOf(std::string_view key) const;
    std::uint32_t line() const;

    const toml::table *node;
    std::string tablePath;
    ProblemList *problems;
};

} // namespace Briarbend::Document
