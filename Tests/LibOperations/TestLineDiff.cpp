#include <LibOperations/LineDiff.h>
#include <LibOperations/VersionMarker.h>

#include <algorithm>
#include <gtest/gtest.h>
#include <numeric>
#include <rapidcheck/gtest.h>
#include <sstream>

namespace Briarbend::Operations
{

namespace
{

/// The lines of one side that a diff shows.
std::string sideOf(const std::string &diff, char side)
{
    std::istringstream stream(diff);
    std::string text;
    for (std::string line; std::getline(stream, line);) {
        const bool isHead = line.starts_with("---") || line.starts_with("+++") || line.starts_with("@@");
        if (!isHead && (line.front() == ' ' || line.front() == side)) {
            text += line.substr(1) + "\n";
        }
    }
    return text;
}

std::string shortText()
{
    const auto lines = *rc::gen::container<std::vector<std::string>>(rc::gen::element<std::string>("a\n", "b\n", "c\n"));
    return std::accumulate(lines.begin(), lines.begin() + std::min<std::ptrdiff_t>(3, std::ssize(lines)), std::string{});
}

} // namespace

RC_GTEST_PROP(LineDiff, showsBothSidesWhole, ())
{
    const auto from = shortText();
    const auto to = shortText();
    const auto diff = unifiedDiff(from, to, "from", "to");
    RC_ASSERT(diff.empty() == (from == to));
    // In texts of three lines every equal line is within the context of a change.
    RC_ASSERT(from == to || sideOf(diff, '-') == from);
    RC_ASSERT(from == to || sideOf(diff, '+') == to);
}

TEST(LineDiff, printsHunksWithThreeLinesOfContext)
{
    const std::string from = "1\n2\n3\n4\n5\n6\n7\n8\n9\n10\n11\n12\n13\n14\n15\n";
    const std::string to = "1\n2\n3\n4\nfive\n6\n7\n8\n9\n10\n11\n12\n13\n14\n15\nnew\n";
    EXPECT_EQ(unifiedDiff(from, to, "theirs", "yours"),
              "--- theirs\n+++ yours\n@@ -2,7 +2,7 @@\n 2\n 3\n 4\n-5\n+five\n 6\n 7\n 8\n@@ -13,3 +13,4 @@\n 13\n 14\n 15\n+new\n");
    EXPECT_EQ(unifiedDiff("", "a\n", "x", "y"), "--- x\n+++ y\n@@ -0,0 +1,1 @@\n+a\n");
}

TEST(VersionMarker, isFoundForItsTeamAndTakenOut)
{
    const auto document = versionMarker({"a"}, 5) + "[team.a]\n" + versionMarker({"ab"}, 7) + "[team.ab]\n";
    EXPECT_EQ(findVersionMarker(document, {"a"}), 5U);
    EXPECT_EQ(findVersionMarker(document, {"ab"}), 7U);
    EXPECT_FALSE(findVersionMarker(document, {"b"}));
    EXPECT_EQ(withoutVersionMarkers(document), "[team.a]\n[team.ab]\n");
}

} // namespace Briarbend::Operations
