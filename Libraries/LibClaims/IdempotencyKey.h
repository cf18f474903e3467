#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Briarbend::Claims
{

inline constexpr std::size_t MAXIMUM_IDEMPOTENCY_KEY_BYTES = 255;

/// Parses the idempotency key from the values of a request's Idempotency-Key fields. The value is a structured string
/// (draft-ietf-httpapi-idempotency-key-header) or the bare text that many callers send; both forms give the same key. Returns nullopt if
/// there is no field or more than one, or if the key is empty, longer than MAXIMUM_IDEMPOTENCY_KEY_BYTES or not printable ASCII.
std::optional<std::string> parseIdempotencyKey(const std::vector<std::string_view> &fieldValues);

} // namespace Briarbend::Claims
