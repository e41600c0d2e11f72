#include "policy/mirror/store_era.h"

namespace goldcrestline::policy::mirror {

EraOrder StoreEra::observe(std::optional<std::uint64_t> era)
{
    if (!era)
        return EraOrder::Current;
    if (!m_newest) {
        m_newest = era;
        return EraOrder::Current;
    }
    if (*era < *m_newest)
        return EraOrder::Outdated;
    if (*era == *m_newest)
        return EraOrder::Current;
    m_newest = era;
    ++m_rises;
    return EraOrder::Risen;
}

} // namespace goldcrestline::policy::mirror
