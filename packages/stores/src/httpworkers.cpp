#include "monsoonward/stores/httpworkers.h"

#include "httprequest.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace monsoonward
{

namespace
{

struct Job
{
    HttpCall call;
    TimePoint deadline;
    HttpWorkers::Callback done;
};

} // namespace

class HttpWorkers::Impl
{
public:
    Impl(Executor &executor, unsigned threads)
        : m_executor(executor)
    {
        for (unsigned n = 0; n < threads; ++n) {
            m_threads.emplace_back([this] { run(); });
        }
    }

    ~Impl()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_stopping = true;
        }
        m_jobsChanged.notify_all();
        for (auto &it : m_threads) {
            it.join();
        }
        for (const auto &it : m_jobs) {
            postResult(it, Error {ErrorCode::Unavailable, "the process is stopping"});
        }
    }

    void submit(const HttpCall &call, Callback done)
    {
        Job job {call, m_clock.now() + call.timeout, std::move(done)};
        {
            const std::lock_guard lock(m_mutex);
            if (m_jobs.size() < maxQueuedCalls) {
                m_jobs.push_back(std::move(job));
                m_jobsChanged.notify_one();
                return;
            }
        }
        postResult(job,
                   Error {ErrorCode::Unavailable,
                          std::to_string(maxQueuedCalls) + " calls to the platform are queued already"});
    }

private:
    void run()
    {
        while (true) {
            std::unique_lock lock(m_mutex);
            m_jobsChanged.wait(lock, [this] { return m_stopping || !m_jobs.empty(); });
            if (m_stopping) {
                return;
            }
            const auto job = std::move(m_jobs.front());
            m_jobs.pop_front();
            lock.unlock();
            postResult(job, executeHttp(job.call, m_clock, job.deadline));
        }
    }

    void postResult(const Job &job, const Result<HttpResponse> &response)
    {
        m_executor.post([done = job.done, response] { done(response); });
    }

    Executor &m_executor;
    SteadyClock m_clock;
    std::mutex m_mutex;
    std::condition_variable m_jobsChanged;
    std::deque<Job> m_jobs;
    bool m_stopping = false;
    std::vector<std::thread> m_threads;
};

HttpWorkers::HttpWorkers(Executor &executor, unsigned threads)
    : m_impl(std::make_unique<Impl>(executor, threads))
{
}

HttpWorkers::~HttpWorkers() = default;

void HttpWorkers::submit(const HttpCall &call, Callback done)
{
    m_impl->submit(call, std::move(done));
}

} // namespace monsoonward
