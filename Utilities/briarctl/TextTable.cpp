#include "TextTable.h"

#include <algorithm>
#include <ostream>

namespace Briarbend::Briarctl
{

namespace
{

std::vector<std::size_t> columnWidths(const std::vector<TextRow> &rows)
{
    std::vector<std::size_t> widths;
    for (const auto &row : rows) {
        widths.resize(std::max(widths.size(), row.size()), 0);
        std::ranges::transform(row, widths, widths.begin(), [](const std::string &cell, std::size_t width) {
            return std::max(cell.size(), width);
        });
    }
    return widths;
}

std::string lineOf(const TextRow &row, const std::vector<std::size_t> &widths)
{
    std::string line;
    for (std::size_t column = 0; column < row.size(); ++column) {
        line += "  " + row[column] + std::string(widths[column] - row[column].size(), ' ');
    }
    return line.substr(0, line.find_last_not_of(' ') + 1);
}

} // namespace

void printTable(std::ostream &output, const std::vector<TextRow> &rows)
{
    if (rows.size() < 2) {
        return;
    }
    const auto widths = columnWidths(rows);
    std::ranges::for_each(rows, [&](const TextRow &row) {
        output << lineOf(row, widths) << "\n";
    });
}

} // namespace Briarbend::Briarctl
