#pragma once

#include <stdexcept>

namespace Briarbend::Rollout
{

/// Thrown where bytes do not decode to a value of the expected kind.
class CodecError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace Briarbend::Rollout
