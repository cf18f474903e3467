#pragma once

#include <LibDocument/ValueType.h>
#include <LibNetwork/Endpoint.h>

namespace Briarbend::Settings
{

/// An address to listen on: port 0 takes a free one.
Document::ValueType<Network::Endpoint> listenerType();

/// An address to connect to.
Document::ValueType<Network::Endpoint> remoteType();

} // namespace Briarbend::Settings
