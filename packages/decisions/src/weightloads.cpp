#include "monsoonward/decisions/weightloads.h"

namespace monsoonward
{

namespace
{

constexpr Duration tryEachFor = std::chrono::seconds(1);

} // namespace

WeightLoadPermit::WeightLoadPermit(
    unsigned permits, const Peer &own, const Clock &clock, Random &random, TableService &table, EventLog &events)
    : m_clock(clock)
    , m_random(random)
{
    for (unsigned n = 0; n < permits; ++n) {
        const auto name = "weight-load/" + std::to_string(n);
        m_permits.push_back(std::make_unique<Lease>(name, own, clock, table, events));
    }
}

void WeightLoadPermit::acquire()
{
    if (m_wanted || m_permits.empty()) {
        return;
    }
    m_wanted = true;
    m_tried = m_random.nextBelow(m_permits.size());
    m_triedSince = m_clock.now();
    m_permits[m_tried]->acquire();
}

void WeightLoadPermit::release()
{
    m_wanted = false;
    for (const auto &it : m_permits) {
        it->release();
    }
}

bool WeightLoadPermit::held() const
{
    return m_wanted && m_permits[m_tried]->fencingNumber().has_value();
}

void WeightLoadPermit::tick()
{
    for (const auto &it : m_permits) {
        it->tick();
    }
    if (!m_wanted || held() || m_clock.now() - m_triedSince < tryEachFor) {
        return;
    }
    m_permits[m_tried]->release();
    m_tried = (m_tried + 1) % m_permits.size();
    m_triedSince = m_clock.now();
    m_permits[m_tried]->acquire();
}

} // namespace monsoonward
