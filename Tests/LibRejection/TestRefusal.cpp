#include <LibRejection/Refusal.h>

#include <algorithm>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>
#include <set>

namespace Briarbend::Rejection
{

namespace
{

using Configuration::RouteKind;

constexpr std::array PROGRESSES{
    RequestProgress::NotSent, RequestProgress::SentOutcomeUnknown, RequestProgress::RefusedByTargetNotRun, RequestProgress::Answered};

Refusal anyRefusal()
{
    return {.reason = static_cast<Reason>(*rc::gen::inRange<std::size_t>(0, REASON_COUNT)),
            .progress = *rc::gen::elementOf(PROGRESSES),
            .earlier = *rc::gen::element(EarlierSubmissions::NotIdentified, EarlierSubmissions::Unknown, EarlierSubmissions::NoneRan),
            .retryAfter = std::chrono::milliseconds{*rc::gen::inRange(0, 100'000)},
            .detail = *rc::gen::arbitrary<std::string>()};
}

bool hasField(const FinalAnswer &answer, std::string_view name)
{
    return std::ranges::any_of(answer.fields, [name](const HeaderField &field) {
        return field.name == name;
    });
}

} // namespace

TEST(Reason, tableIsCompleteAndItsNamesAreUnique)
{
    std::set<std::string_view> names;
    for (std::size_t index = 0; index < REASON_COUNT; ++index) {
        const auto &properties = allReasons()[index];
        EXPECT_EQ(properties.reason, static_cast<Reason>(index));
        EXPECT_GE(properties.status, 400U);
        EXPECT_LE(properties.status, 504U);
        EXPECT_TRUE(names.insert(properties.name).second) << properties.name;
        // A reason that sends Retry-After must be one for which a retry can succeed.
        EXPECT_TRUE(properties.retryAfter == RetryAfterRule::None || properties.isRetryUseful) << properties.name;
    }
}

TEST(RequestProgress, onceRequestIsRetriedOnlyIfProvenNotRun)
{
    for (const auto progress : PROGRESSES) {
        EXPECT_EQ(mayRetry(RouteKind::Once, progress), isCertainlyNotRun(progress));
        EXPECT_EQ(mayRetry(RouteKind::Idempotent, progress), progress != RequestProgress::Answered);
        EXPECT_EQ(mayRetry(RouteKind::Safe, progress), progress != RequestProgress::Answered);
    }
}

RC_GTEST_PROP(Refusal, answerSaysNotRunOnlyIfProven, ())
{
    const auto refusal = anyRefusal();
    const auto answer = finalAnswer(refusal, "entry-1");
    const auto problem = nlohmann::json::parse(answer.body);
    const auto saysNotRun = hasField(answer, REQUEST_NOT_RUN_FIELD);

    RC_ASSERT(saysNotRun == (problem.at("run") == "no"));
    RC_ASSERT(problem.at("status") == answer.status);
    if (saysNotRun) {
        RC_ASSERT(refusal.progress == RequestProgress::NotSent || refusal.progress == RequestProgress::RefusedByTargetNotRun);
        RC_ASSERT(refusal.earlier != EarlierSubmissions::Unknown);
        RC_ASSERT(reasonTraits(refusal.reason).run != RunRule::MayHaveRun);
    }
}

RC_GTEST_PROP(Refusal, fieldsContainOnlyPrintableAscii, ())
{
    const auto answer = finalAnswer(anyRefusal(), *rc::gen::arbitrary<std::string>());
    RC_ASSERT(hasField(answer, "Proxy-Status"));
    for (const auto &field : answer.fields) {
        RC_ASSERT(std::ranges::all_of(field.value, [](char character) {
            return character >= ' ' && character <= '~';
        }));
    }
}

RC_GTEST_PROP(Refusal, retryAfterIsNeverShorterThanRequested, ())
{
    const auto refusal = anyRefusal();
    const auto delay = retryAfter(refusal);
    RC_ASSERT(delay.has_value() == (reasonTraits(refusal.reason).retryAfter != RetryAfterRule::None));
    if (reasonTraits(refusal.reason).retryAfter == RetryAfterRule::FromRefusal) {
        RC_ASSERT(*delay >= *refusal.retryAfter);
        RC_ASSERT(*delay >= std::chrono::seconds{1});
    }
}

TEST(Refusal, lostConnectionOrUnreadClaimsLeaveRunStatusUnknown)
{
    EXPECT_EQ(runStatus({.reason = Reason::TargetConnectionLost, .progress = RequestProgress::SentOutcomeUnknown}), RunStatus::Unknown);
    EXPECT_EQ(runStatus({.reason = Reason::Overloaded}), RunStatus::No);
    EXPECT_EQ(runStatus({.reason = Reason::Overloaded, .earlier = EarlierSubmissions::Unknown}), RunStatus::Unknown);
    EXPECT_EQ(runStatus({.reason = Reason::Overloaded, .earlier = EarlierSubmissions::NoneRan}), RunStatus::No);
}

} // namespace Briarbend::Rejection
