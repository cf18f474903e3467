#pragma once

#include <LibGateway/RecordStore.h>
#include <LibGateway/UsageInterfaces.h>

#include <string_view>

namespace Briarbend::Gateway
{

/// JSON text of a duty's record. Bytes that are not UTF-8 are replaced: one bad name of a tenant must not keep the counts of all others
/// from being reported.
std::string encodeDutyRecord(const Duties::DutyRecord &record);
/// Throws std::exception if the text is no such record.
Duties::DutyRecord decodeDutyRecord(std::string_view text);

/// Keeps the record of the duty of usage reports among the records of instances, which must outlive it.
class DutyRecordStore final : public DutyStore
{
public:
    explicit DutyRecordStore(RecordStore &recordStore);

    boost::asio::awaitable<Duties::ReadResult> readDuty() override;
    boost::asio::awaitable<Duties::WriteResult> writeDuty(Duties::WriteRecord write) override;

private:
    RecordStore &records;
};

} // namespace Briarbend::Gateway
