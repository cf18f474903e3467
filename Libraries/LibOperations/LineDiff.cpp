#include <LibOperations/LineDiff.h>

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <ranges>
#include <sstream>
#include <vector>

namespace Briarbend::Operations
{

namespace
{

constexpr std::size_t CONTEXT_LINES{3};
/// Bounds the memory of the comparison, 8 bytes a cell; longer parts are shown as replaced whole.
constexpr std::size_t MAXIMUM_TABLE_CELLS{4000000};

enum class Side : char {
    Both = ' ',
    From = '-',
    To = '+',
};

struct DiffLine {
    Side side;
    std::string_view text;
};

std::vector<std::string_view> linesOf(std::string_view text)
{
    std::vector<std::string_view> lines;
    while (!text.empty()) {
        const auto end = std::min(text.find('\n'), text.size());
        lines.push_back(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return lines;
}

/// lengths[i][j]: the longest common subsequence of the lines from i and from j on.
using LengthTable = std::vector<std::vector<std::size_t>>;

LengthTable commonLengths(const std::vector<std::string_view> &from, const std::vector<std::string_view> &to)
{
    LengthTable lengths(from.size() + 1, std::vector<std::size_t>(to.size() + 1, 0));
    for (const auto i : std::views::iota(std::size_t{0}, from.size()) | std::views::reverse) {
        for (const auto j : std::views::iota(std::size_t{0}, to.size()) | std::views::reverse) {
            lengths[i][j] = from[i] == to[j] ? lengths[i + 1][j + 1] + 1 : std::max(lengths[i + 1][j], lengths[i][j + 1]);
        }
    }
    return lengths;
}

std::vector<DiffLine> replaceAll(const std::vector<std::string_view> &from, const std::vector<std::string_view> &to)
{
    std::vector<DiffLine> lines;
    std::ranges::transform(from, std::back_inserter(lines), [](std::string_view line) {
        return DiffLine{Side::From, line};
    });
    std::ranges::transform(to, std::back_inserter(lines), [](std::string_view line) {
        return DiffLine{Side::To, line};
    });
    return lines;
}

/// The lines of the parts between equal heads and tails.
std::vector<DiffLine> diffMiddle(const std::vector<std::string_view> &from, const std::vector<std::string_view> &to)
{
    if (from.size() * to.size() > MAXIMUM_TABLE_CELLS) {
        return replaceAll(from, to);
    }
    const auto lengths = commonLengths(from, to);
    std::vector<DiffLine> lines;
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < from.size() || j < to.size()) {
        if (i < from.size() && j < to.size() && from[i] == to[j]) {
            lines.push_back({Side::Both, from[i]});
            i += 1;
            j += 1;
        } else if (i < from.size() && (j == to.size() || lengths[i + 1][j] >= lengths[i][j + 1])) {
            lines.push_back({Side::From, from[i]});
            i += 1;
        } else {
            lines.push_back({Side::To, to[j]});
            j += 1;
        }
    }
    return lines;
}

std::vector<DiffLine> diffLines(const std::vector<std::string_view> &from, const std::vector<std::string_view> &to)
{
    const auto head = static_cast<std::size_t>(std::ranges::mismatch(from, to).in1 - from.begin());
    const auto rest = std::min(from.size(), to.size()) - head;
    const auto tailEnd = std::ranges::mismatch(from | std::views::reverse | std::views::take(rest), to | std::views::reverse);
    const auto tail = static_cast<std::size_t>(tailEnd.in1 - (from | std::views::reverse | std::views::take(rest)).begin());
    std::vector<DiffLine> lines;
    const auto addEqual = [&lines](std::string_view line) {
        lines.push_back({Side::Both, line});
    };
    std::ranges::for_each(from | std::views::take(head), addEqual);
    const auto headEnd = static_cast<std::ptrdiff_t>(head);
    const auto tailLength = static_cast<std::ptrdiff_t>(tail);
    const auto middle = diffMiddle({from.begin() + headEnd, from.end() - tailLength}, {to.begin() + headEnd, to.end() - tailLength});
    lines.insert(lines.end(), middle.begin(), middle.end());
    std::ranges::for_each(from | std::views::drop(from.size() - tail), addEqual);
    return lines;
}

bool isNearChange(const std::vector<DiffLine> &lines, std::size_t index)
{
    const auto begin = index - std::min(index, CONTEXT_LINES);
    const auto end = std::min(index + CONTEXT_LINES + 1, lines.size());
    return std::ranges::any_of(lines | std::views::take(end) | std::views::drop(begin), [](const DiffLine &line) {
        return line.side != Side::Both;
    });
}

std::ptrdiff_t linesOfSide(const std::vector<DiffLine> &lines, std::size_t begin, std::size_t end, Side side)
{
    return std::ranges::count_if(lines | std::views::take(end) | std::views::drop(begin), [side](const DiffLine &line) {
        return line.side == Side::Both || line.side == side;
    });
}

void printRange(std::ostream &text, const std::vector<DiffLine> &lines, std::size_t begin, std::size_t end, Side side)
{
    const auto count = linesOfSide(lines, begin, end, side);
    const auto before = linesOfSide(lines, 0, begin, side);
    text << static_cast<char>(side) << (count == 0 ? before : before + 1) << "," << count;
}

void printHunk(std::ostream &text, const std::vector<DiffLine> &lines, std::size_t begin, std::size_t end)
{
    text << "@@ ";
    printRange(text, lines, begin, end, Side::From);
    text << " ";
    printRange(text, lines, begin, end, Side::To);
    text << " @@\n";
    for (const auto &line : lines | std::views::take(end) | std::views::drop(begin)) {
        text << static_cast<char>(line.side) << line.text << "\n";
    }
}

} // namespace

std::string unifiedDiff(std::string_view from, std::string_view to, std::string_view fromName, std::string_view toName)
{
    if (from == to) {
        return {};
    }
    const auto lines = diffLines(linesOf(from), linesOf(to));
    std::ostringstream text;
    text << "--- " << fromName << "\n+++ " << toName << "\n";
    std::size_t begin = 0;
    while (begin < lines.size()) {
        std::size_t end = begin;
        while (end < lines.size() && isNearChange(lines, end)) {
            end += 1;
        }
        if (end > begin) {
            printHunk(text, lines, begin, end);
        }
        begin = end + 1;
    }
    return text.str();
}

} // namespace Briarbend::Operations
