#pragma once

#include <string>
#include <string_view>

namespace Briarbend::Operations
{

/// The lines in which two texts differ, as a unified diff with three lines of context. Empty where the texts are equal.
/// Between equal heads and tails the shortest difference, or, where that part is very long on both sides, the whole part replaced.
std::string unifiedDiff(std::string_view from, std::string_view to, std::string_view fromName, std::string_view toName);

} // namespace Briarbend::Operations
