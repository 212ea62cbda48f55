#pragma once

#include "answersink.h"

#include <monsoonward/decisions/decisions.h>

#include <mutex>
#include <unordered_map>

namespace monsoonward
{

/// @brief A request between its submission and its final answer. Fixed parts are read by any thread.
struct OpenRequest
{
    RequestId id;
    CallerCall call;
    TimePoint arrived {};
    std::shared_ptr<AnswerSink> sink;
    std::mutex mutex; ///< guards what follows
    std::optional<ClaimId> claim;
    std::optional<AnswerValidator> answerValidator;
    std::shared_ptr<AnswerCredit> credit;
    TimePoint firstByte {};
    bool ended = false;
};

/// @brief The entry's requests in progress. Any thread.
class OpenRequests
{
public:
    explicit OpenRequests(std::size_t maxOpen);

    /// Counts a request in. @return false when too many are open
    bool enter();
    /// Counts out a request that enter() let in.
    void leave();
    void add(const std::shared_ptr<OpenRequest> &request);
    std::shared_ptr<OpenRequest> find(const RequestId &id) const;
    std::shared_ptr<OpenRequest> take(const RequestId &id);
    std::size_t open() const;

private:
    std::size_t m_maxOpen;
    mutable std::mutex m_mutex;
    std::size_t m_open = 0;
    std::unordered_map<RequestId, std::shared_ptr<OpenRequest>> m_requests;
};

} // namespace monsoonward
