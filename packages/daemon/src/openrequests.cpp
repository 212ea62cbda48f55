#include "openrequests.h"

namespace monsoonward
{

OpenRequests::OpenRequests(std::size_t maxOpen)
    : m_maxOpen(maxOpen)
{
}

bool OpenRequests::tryReserve()
{
    const std::lock_guard lock(m_mutex);
    if (m_reserved >= m_maxOpen) {
        return false;
    }
    ++m_reserved;
    return true;
}

void OpenRequests::release()
{
    const std::lock_guard lock(m_mutex);
    --m_reserved;
}

void OpenRequests::add(const std::shared_ptr<OpenRequest> &request)
{
    const std::lock_guard lock(m_mutex);
    m_requests[request->id] = request;
}

std::shared_ptr<OpenRequest> OpenRequests::find(const RequestId &id) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_requests.find(id);
    return it == m_requests.end() ? nullptr : it->second;
}

std::shared_ptr<OpenRequest> OpenRequests::remove(const RequestId &id)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_requests.find(id);
    if (it == m_requests.end()) {
        return nullptr;
    }
    auto request = std::move(it->second);
    m_requests.erase(it);
    return request;
}

std::size_t OpenRequests::count() const
{
    const std::lock_guard lock(m_mutex);
    return m_reserved;
}

} // namespace monsoonward
