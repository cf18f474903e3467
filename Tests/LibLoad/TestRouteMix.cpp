#include <LibLoad/RouteMix.h>

#include <gtest/gtest.h>

namespace Briarbend::Load
{

TEST(RouteMix, readsRoutesFromOptionsAndFromTomlAlike)
{
    const MixRoute dispatch{2.5, "POST", "/dispatch", 300, true};
    EXPECT_EQ(parseMixRoute("2.5,POST,/dispatch,300,once"), dispatch);
    const auto *document = "[[route]]\nweight=2.5\nmethod='POST'\npath='/dispatch'\nbytes=300\nonce=true\n[[route]]\npath='/x'\n";
    const auto mix = parseMix(document);
    ASSERT_EQ(mix.size(), 2U);
    EXPECT_EQ(mix[0], dispatch);
    EXPECT_EQ(mix[1], (MixRoute{1, "GET", "/x", 0, false}));
}

TEST(RouteMix, refusesWhatItDoesNotUnderstand)
{
    for (const auto *text :
         {"", "1,GET", "0,GET,/x", "-1,GET,/x", "nan,GET,/x", "1,get,/x", "1,GET,x", "1,GET,/x,many", "1,GET,/x,1,twice"}) {
        EXPECT_THROW(parseMixRoute(text), std::invalid_argument) << text;
    }
    for (const auto *document : {"", "[[route]]\npaht='/x'\n", "[[route]]\nweight='1'\n", "rate=1\n[[route]]\n", "[[route]\n"}) {
        EXPECT_THROW(parseMix(document), std::invalid_argument) << document;
    }
}

TEST(RouteMix, drawsRoutesByWeight)
{
    const std::vector<MixRoute> mix{parseMixRoute("3,GET,/a"), parseMixRoute("1,GET,/b")};
    Core::Random random(3);
    int first = 0;
    for (int draw = 0; draw < 10000; ++draw) {
        first += chooseRoute(mix, random) == 0 ? 1 : 0;
    }
    EXPECT_NEAR(first, 7500, 200);
}

} // namespace Briarbend::Load
