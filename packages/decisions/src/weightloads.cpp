#include "monsoonward/decisions/weightloads.h"

namespace monsoonward
{

namespace
{

constexpr Duration timePerPermit = std::chrono::seconds(1);

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
    m_current = m_random.nextBelow(m_permits.size());
    m_currentSince = m_clock.now();
    m_permits[m_current]->acquire();
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
    return m_wanted && m_permits[m_current]->fencingToken().has_value();
}

void WeightLoadPermit::tick()
{
    for (const auto &it : m_permits) {
        it->tick();
    }
    if (!m_wanted || held() || m_clock.now() - m_currentSince < timePerPermit) {
        return;
    }
    m_permits[m_current]->release();
    m_current = (m_current + 1) % m_permits.size();
    m_currentSince = m_clock.now();
    m_permits[m_current]->acquire();
}

} // namespace monsoonward
