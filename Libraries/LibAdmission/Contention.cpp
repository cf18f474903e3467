#include <LibAdmission/Contention.h>

namespace Briarbend::Admission
{

void recordLoad(Contention &contention, std::uint32_t usedSlots, std::uint32_t slots, Core::TimePoint now)
{
    if (slots == 0) {
        return;
    }
    contention.isContended = isContended(contention, now);
    Limits::addEvents(contention.used, usedSlots, now);
    Limits::addEvents(contention.slots, slots, now);
    contention.isContended = occupancy(contention) >= (contention.isContended ? CONTENDED_DOWN_TO_OCCUPANCY : CONTENDED_FROM_OCCUPANCY);
}

double occupancy(const Contention &contention)
{
    return contention.slots.weight > 0 ? contention.used.weight / contention.slots.weight : 0;
}

Core::Duration age(const Contention &contention, Core::TimePoint now)
{
    return now - contention.slots.updatedAt;
}

bool isContended(const Contention &contention, Core::TimePoint now)
{
    return contention.isContended && age(contention, now) < OCCUPANCY_LIFETIME;
}

} // namespace Briarbend::Admission
