#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace Briarbend::Briarctl
{

using TextRow = std::vector<std::string>;

/// Prints rows in aligned columns, each row indented by two; the first row is the head. Nothing where there is only the head.
void printTable(std::ostream &output, const std::vector<TextRow> &rows);

} // namespace Briarbend::Briarctl
