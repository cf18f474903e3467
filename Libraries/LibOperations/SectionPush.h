#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>
#include <LibNetwork/Endpoint.h>
#include <LibStore/ObjectStore.h>

#include <boost/asio/awaitable.hpp>
#include <string>
#include <vector>

namespace Briarbend::Operations
{

/// A section that the store has accepted.
struct AcceptedSection {
    Core::TeamName team;
    Store::Version version{0};
    std::string text;
};

/// Hands an accepted section to instances, so that it spreads even where the store fails before an instance has read it. Stops once two
/// instances have taken it, and tells how many have. The time-out bounds each exchange.
boost::asio::awaitable<std::size_t>
pushSection(std::vector<Network::Endpoint> operatorAddresses, AcceptedSection section, Core::Duration timeout);

} // namespace Briarbend::Operations
