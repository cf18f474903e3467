#pragma once

#include <LibCoordination/PeerLink.h>

#include <LibConfiguration/Model.h>
#include <LibRelay/RelayState.h>

#include <nlohmann/json_fwd.hpp>

namespace Briarbend::Daemon
{

/// Every table that the relay decides from, for operators.
nlohmann::json dumpRelay(const Relay::RelayState &relay, Core::TimePoint now);

/// Members, sections and the counters of gossip.
nlohmann::json dumpPeers(const Coordination::PeerLink &peers, Core::TimePoint now);

/// Store version of each team's section in force.
nlohmann::json dumpVersions(const Configuration::Sections &sections);

} // namespace Briarbend::Daemon
