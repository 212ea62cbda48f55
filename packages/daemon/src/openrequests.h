#pragma once

#include "answersink.h"

#include <monsoonward/decisions/decisions.h>

#include <mutex>
#include <unordered_map>

namespace monsoonward
{

/// @brief A request between its submission and its final answer. Members before the mutex don't change after
/// OpenRequests::add() and may be read by any thread.
struct OpenRequest
{
    RequestId id;
    ParsedRequest parsed;
    TimePoint arrivedAt {};
    std::shared_ptr<AnswerSink> sink;
    std::mutex mutex; ///< guards the members below
    std::optional<ClaimId> claim;
    std::optional<AnswerValidator> answerValidator;
    std::shared_ptr<AnswerCredit> credit;
    TimePoint firstByteAt {};
    bool ended = false;
};

/// @brief The entry's requests in progress, limited in number. Thread-safe.
class OpenRequests
{
public:
    explicit OpenRequests(std::size_t maxOpen);

    /// Reserves a place for a request.
    /// @return false if the maximum number of requests is in progress
    bool tryReserve();
    /// Releases a place reserved by tryReserve().
    void release();
    void add(const std::shared_ptr<OpenRequest> &request);
    std::shared_ptr<OpenRequest> find(const RequestId &id) const;
    std::shared_ptr<OpenRequest> remove(const RequestId &id);
    std::size_t count() const;

private:
    std::size_t m_maxOpen;
    mutable std::mutex m_mutex;
    std::size_t m_reserved = 0;
    std::unordered_map<RequestId, std::shared_ptr<OpenRequest>> m_requests;
};

} // namespace monsoonward
