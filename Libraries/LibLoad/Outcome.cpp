#include <LibLoad/Outcome.h>

namespace Briarbend::Load
{

namespace
{

bool differs(const std::string &stated, const std::string &expected)
{
    return !stated.empty() && stated != expected;
}

} // namespace

const char *nameOf(Outcome outcome)
{
    return OUTCOME_NAMES.at(static_cast<std::size_t>(outcome));
}

std::optional<bool> isChecksumRight(const ReceivedAnswer &answer)
{
    if (answer.statedChecksum.empty()) {
        return std::nullopt;
    }
    return answer.statedChecksum == answer.receivedChecksum;
}

Outcome classify(const ReceivedAnswer &answer, const ExpectedAnswer &expected)
{
    const bool isWrong = answer.hasTrailingBytes || differs(answer.nonce, expected.nonce) || !isChecksumRight(answer).value_or(true)
        || differs(answer.statedBodyChecksum, expected.bodyChecksum);
    if (isWrong) {
        return Outcome::WrongAnswer;
    }
    if (answer.status >= 500) {
        return answer.isMarkedNotRun ? Outcome::NotRun : Outcome::ServerError;
    }
    return answer.status >= 200 && answer.status < 300 ? Outcome::Answered : Outcome::Refused;
}

} // namespace Briarbend::Load
