#include <LibLoad/Tally.h>

#include <gtest/gtest.h>

namespace Briarbend::Load
{

TEST(Outcome, aWholeLookingAnswerWithAnyMismatchIsWrong)
{
    const ExpectedAnswer expected{"nonce", "body"};
    const ReceivedAnswer right{200, false, "nonce", "sum", "sum", "body", false};
    EXPECT_EQ(classify(right, expected), Outcome::Answered);
    auto otherRequest = right;
    otherRequest.nonce = "other";
    auto changedBody = right;
    changedBody.receivedChecksum = "changed";
    auto changedUpload = right;
    changedUpload.statedBodyChecksum = "changed";
    auto extraBytes = right;
    extraBytes.hasTrailingBytes = true;
    for (const auto &wrong : {otherRequest, changedBody, changedUpload, extraBytes}) {
        EXPECT_EQ(classify(wrong, expected), Outcome::WrongAnswer);
    }
    EXPECT_EQ(classify({503, true, "", "", "", "", false}, expected), Outcome::NotRun);
    EXPECT_EQ(classify({503, false, "", "", "", "", false}, expected), Outcome::ServerError);
    EXPECT_EQ(classify({409, false, "", "", "", "", false}, expected), Outcome::Refused);
}

TEST(Tally, measuresLatencyFromTheIntendedTimeAndOnlyOfAnswers)
{
    LoadEvent event;
    event.sent = event.intended + std::chrono::milliseconds(30);
    event.done = event.sent + std::chrono::milliseconds(10);
    Tally tally;
    record(tally, event);
    event.outcome = Outcome::Timeout;
    event.attempt = 2;
    record(tally, event);
    const auto json = toJson(tally, std::chrono::seconds(2));
    EXPECT_EQ(json.at("attempts"), 2);
    EXPECT_EQ(json.at("goodput"), 0.5);
    EXPECT_EQ(json.at("resubmissions"), 1);
    EXPECT_EQ(json.at("outcomes").at("timeout"), 1);
    EXPECT_NEAR(json.at("latency_us").at("p50"), 40000, 400);
}

} // namespace Briarbend::Load
