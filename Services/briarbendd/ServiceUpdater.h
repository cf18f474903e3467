#pragma once

#include <LibConfiguration/Model.h>
#include <LibRelay/RelayState.h>
#include <LibStore/ObjectStore.h>

#include <set>

namespace Briarbend::Daemon
{

/// Builds the relay's tables anew from the sections in force and the platform's instance list. Requests in flight keep the tables that
/// they began with.
void updateServices(Relay::RelayState &relay,
                    const Configuration::Sections &sections,
                    const std::vector<Store::ListedInstance> &list,
                    const Relay::InstancePlacement &place);

/// Every target of the list that the relay may send to.
std::set<Core::TargetId> targetsOf(const Relay::RelayState &relay);

} // namespace Briarbend::Daemon
