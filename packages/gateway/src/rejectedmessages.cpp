#include "rejectedmessages.h"

namespace monsoonward
{

namespace
{

constexpr std::size_t maxSenders = 64; // bounds the memory and the log records that many senders can cause

} // namespace

RejectedMessages::RejectedMessages(GatewayCore &core)
    : m_core(core)
{
}

void RejectedMessages::reject(std::string_view what, const Address &sender, const std::string &reason)
{
    m_core.metrics.peerMessageRejected();
    const auto now = m_core.clock.now();
    for (auto it = m_loggedAt.begin(); it != m_loggedAt.end();) {
        it = now - it->second >= logInterval ? m_loggedAt.erase(it) : std::next(it);
    }
    if (m_loggedAt.size() >= maxSenders || !m_loggedAt.emplace(Key {sender, reason}, now).second) {
        return;
    }
    const auto text = sender.ip + ":" + std::to_string(sender.port);
    m_core.log.write(Event::GatewayReportRejected,
                     Severity::Warning,
                     what,
                     {{"sender", std::string_view(text)}, {"reason", std::string_view(reason)}});
}

} // namespace monsoonward
