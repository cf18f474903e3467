#include <LibClaims/Claim.h>

namespace Briarbend::Claims
{

AttemptId newAttemptId(Core::Random &random)
{
    const auto high = random.bits();
    return {.high = high, .low = random.bits()};
}

} // namespace Briarbend::Claims
