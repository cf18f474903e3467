#include <LibLoad/BodyChecksum.h>

#include <cstdint>
#include <ranges>
#include <xxhash.h>

namespace Briarbend::Load
{

BodyChecksum::BodyChecksum()
    : state(XXH3_createState())
{
    this->reset();
}

void BodyChecksum::reset()
{
    XXH3_64bits_reset(this->state.get());
}

void BodyChecksum::update(std::string_view piece)
{
    XXH3_64bits_update(this->state.get(), piece.data(), piece.size());
}

std::string BodyChecksum::text() const
{
    constexpr std::string_view DIGITS = "0123456789abcdef";
    constexpr unsigned BITS_PER_DIGIT = 4;
    auto value = XXH3_64bits_digest(this->state.get());
    std::string text(sizeof(value) * 2, '0');
    for (auto &digit : text | std::views::reverse) {
        digit = DIGITS[value % DIGITS.size()];
        value >>= BITS_PER_DIGIT;
    }
    return text;
}

void BodyChecksum::Deleter::operator()(XXH3_state_s *pointer) const
{
    XXH3_freeState(pointer);
}

} // namespace Briarbend::Load
