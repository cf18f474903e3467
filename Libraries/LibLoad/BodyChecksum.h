#pragma once

#include <memory>
#include <string>
#include <string_view>

struct XXH3_state_s;

namespace Briarbend::Load
{

/// XXH3 (64 bits) of a body that arrives in pieces. Not a cryptographic digest: it finds cut, mixed-up and damaged bodies.
class BodyChecksum
{
public:
    BodyChecksum();

    void reset();
    void update(std::string_view piece);
    /// 16 hexadecimal digits.
    std::string text() const;

private:
    struct Deleter {
        void operator()(XXH3_state_s *state) const;
    };

    std::unique_ptr<XXH3_state_s, Deleter> state;
};

} // namespace Briarbend::Load
