#pragma once

#include <LibDocument/KeyTable.h>
#include <LibSettings/Settings.h>

/// Every key of the settings: reading, problems and the reference page come from these tables.
namespace Briarbend::Settings
{

Document::KeyTable<InstanceSettings> instanceKeys();
Document::KeyTable<StoreSettings> storeKeys();
Document::KeyTable<PeerSettings> peerKeys();
Document::KeyTable<LimitSettings> limitKeys();
Document::KeyTable<ClaimSettings> claimKeys();
/// The values of the distance table, whose keys are pairs of data centres.
Document::ValueType<std::chrono::microseconds> distanceType();

} // namespace Briarbend::Settings
