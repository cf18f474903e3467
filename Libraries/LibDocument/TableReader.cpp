#include <LibDocument/TableReader.h>

#include <LibDocument/ValueType.h>

#include <algorithm>
#include <cerrno>
#include <fstream>
#include <iterator>
#include <sstream>
#include <system_error>

namespace Briarbend::Document
{

namespace
{

/// What a problem says was found: the value as written, or the kind of node where it has parts.
std::string describe(const toml::node &node)
{
    if (node.is_table()) {
        return "a table";
    }
    if (node.is_array_of_tables()) {
        return "an array of tables";
    }
    std::ostringstream text;
    node.visit([&text](const auto &value) {
        text << value;
    });
    return text.str();
}

std::string joined(std::vector<std::string> names)
{
    std::ranges::sort(names);
    std::string text;
    for (const auto &name : names) {
        text += (text.empty() ? "" : ", ") + name;
    }
    return text;
}

} // namespace

toml::table parseToml(std::string_view text, const std::string &file)
{
    try {
        return toml::parse(text, file);
    } catch (const toml::parse_error &error) {
        throw DocumentError({{file, error.source().begin.line, "", std::string(error.description()), "TOML 1.0"}});
    }
}

std::string readFile(const std::string &file)
{
    std::ifstream stream(file, std::ios::binary);
    std::string text{std::istreambuf_iterator<char>(stream), {}};
    if (!stream.is_open() || stream.bad()) {
        throw DocumentError({{file, 0, "", "no file that can be read (" + std::generic_category().message(errno) + ")", "a TOML file"}});
    }
    return text;
}

TableReader::TableReader(const toml::table &table, std::string path, ProblemList &problemList)
    : node(&table)
    , tablePath(std::move(path))
    , problems(&problemList)
{
}

const std::string &TableReader::path() const
{
    return this->tablePath;
}

const toml::node *TableReader::find(std::string_view key) const
{
    return this->node->get(key);
}

std::optional<TableReader> TableReader::subtable(std::string_view key) const
{
    const auto *found = this->find(key);
    if (found == nullptr) {
        return std::nullopt;
    }
    if (!found->is_table()) {
        this->report(*found, key, "a table");
        return std::nullopt;
    }
    return TableReader(*found->as_table(), this->pathOf(key), *this->problems);
}

std::vector<TableReader> TableReader::namedTables() const
{
    std::vector<TableReader> tables;
    for (const auto &[key, value] : *this->node) {
        const auto name = key.str();
        if (!isName(name)) {
            this->problems->add(key.source().begin.line,
                                this->pathOf(name),
                                "the name \"" + std::string(name) + "\"",
                                "names of 1 to 63 characters from a-z, 0-9 and -");
        } else if (const auto table = this->subtable(name)) {
            tables.push_back(*table);
        }
    }
    return tables;
}

std::vector<TableReader> TableReader::tablesOf(std::string_view key) const
{
    const auto *found = this->find(key);
    if (found == nullptr) {
        return {};
    }
    if (!found->is_array_of_tables()) {
        this->report(*found, key, "an array of tables");
        return {};
    }
    std::vector<TableReader> tables;
    std::ranges::transform(*found->as_array(), std::back_inserter(tables), [&](const toml::node &item) {
        return TableReader(*item.as_table(), this->pathOf(key), *this->problems);
    });
    return tables;
}

std::string TableReader::name() const
{
    return this->tablePath.substr(this->tablePath.rfind('.') + 1);
}

const toml::table &TableReader::table() const
{
    return *this->node;
}

ProblemList &TableReader::problemList() const
{
    return *this->problems;
}

void TableReader::report(const toml::node &value, std::string_view key, std::string allowed) const
{
    this->problems->add(value.source().begin.line, this->pathOf(key), describe(value), std::move(allowed));
}

void TableReader::report(std::string_view key, std::string found, std::string allowed) const
{
    const auto *value = this->find(key);
    const auto line = value == nullptr ? this->line() : value->source().begin.line;
    this->problems->add(line, this->pathOf(key), std::move(found), std::move(allowed));
}

void TableReader::reportMissing(std::string_view key, std::string allowed) const
{
    this->problems->add(this->line(), this->pathOf(key), "nothing", std::move(allowed));
}

void TableReader::reportUnknownKeys(const std::vector<std::string> &known) const
{
    for (const auto &[key, value] : *this->node) {
        if (std::ranges::find(known, key.str()) == known.end()) {
            this->problems->add(key.source().begin.line, this->pathOf(key.str()), "an unknown key", "the keys " + joined(known));
        }
    }
}

std::string TableReader::pathOf(std::string_view key) const
{
    if (this->tablePath.empty() || key.empty()) {
        return this->tablePath + std::string(key);
    }
    return this->tablePath + "." + std::string(key);
}

std::uint32_t TableReader::line() const
{
    return this->node->source().begin.line;
}

} // namespace Briarbend::Document
