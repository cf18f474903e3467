#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Briarbend::Claims
{

inline constexpr std::size_t MAXIMUM_IDEMPOTENCY_KEY_BYTES = 255;

/// The key of a request from the values of its Idempotency-Key fields: the content of a structured string
/// (draft-ietf-httpapi-idempotency-key-header), or the bare text that many callers send, which names the same key. Nothing where
/// there is no field, more than one, or a value that is empty, longer than MAXIMUM_IDEMPOTENCY_KEY_BYTES bytes or not printable ASCII.
std::optional<std::string> parseIdempotencyKey(const std::vector<std::string_view> &fieldValues);

} // namespace Briarbend::Claims
