#pragma once

#include <LibGossip/Envelope.h>

#include <stdexcept>
#include <string>
#include <string_view>

namespace Briarbend::Gossip
{

/// A message that is not CBOR, or whose shape, types or ranges are not those of an Envelope.
class MalformedMessage : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// CBOR (RFC 8949): nested arrays without names, to keep messages small. The first element is the protocol version.
std::string encode(const Envelope &envelope);

/// Throws MalformedMessage; never any other exception.
Envelope decode(std::string_view bytes);

} // namespace Briarbend::Gossip
