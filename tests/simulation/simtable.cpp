#include "simtable.h"

namespace monsoonward
{

namespace
{

constexpr Duration minDelay = std::chrono::microseconds(300);
constexpr Duration delayJitter = std::chrono::milliseconds(2);
constexpr Duration slowStoreDelay = std::chrono::seconds(1);
constexpr Duration timeout = std::chrono::milliseconds(1500);

} // namespace

SimTable::SimTable(EventQueue &queue, SimStore &store, Random &random)
    : m_queue(queue)
    , m_store(store)
    , m_random(random)
{
}

void SimTable::setProcess(const std::weak_ptr<SimProcess> &process)
{
    m_process = process;
}

void SimTable::read(const std::string &key, ReadCallback done)
{
    using Answer = Result<std::optional<Row>>;
    const Answer timedOut = Error {ErrorCode::Unavailable, "reading \"" + key + "\" timed out"};
    call<Answer>(timedOut, done, [key](TableService &table, const ReadCallback &answer) { table.read(key, answer); });
}

void SimTable::scan(const std::string &prefix, const std::string &after, std::size_t limit, ScanCallback done)
{
    using Answer = Result<std::vector<Row>>;
    const Answer timedOut = Error {ErrorCode::Unavailable, "scanning \"" + prefix + "\" timed out"};
    call<Answer>(timedOut, done, [prefix, after, limit](TableService &table, const ScanCallback &answer) {
        table.scan(prefix, after, limit, answer);
    });
}

void SimTable::write(const std::vector<RowWrite> &writes, WriteCallback done)
{
    using Answer = Result<void>;
    const Answer timedOut = Error {ErrorCode::Unknown, "the write timed out"};
    call<Answer>(
        timedOut, done, [writes](TableService &table, const WriteCallback &answer) { table.write(writes, answer); });
}

template<class Answer, class Call>
void SimTable::call(const Answer &timedOut, const std::function<void(Answer)> &done, Call call)
{
    const auto answered = std::make_shared<bool>(false);
    const auto answerOnce = [answered, done, process = m_process](Duration delay, const Answer &answer) {
        if (const auto owner = process.lock()) {
            owner->post(delay, [answered, done, answer] {
                if (!*answered) {
                    *answered = true;
                    done(answer);
                }
            });
        }
    };
    const auto oneWayDelay = [this] {
        const auto spread = Duration(static_cast<Duration::rep>(m_random.nextBelow(delayJitter.count())));
        return minDelay + spread + (m_store.state == StoreState::Slow ? slowStoreDelay : Duration {});
    };
    answerOnce(timeout, timedOut);
    m_queue.after(oneWayDelay(), [&store = m_store, call, answerOnce, returnDelay = oneWayDelay()] {
        auto &table = store.table;
        table.setFault(store.state == StoreState::Down ? TableFault::Down : TableFault::None);
        call(table, [answerOnce, returnDelay](const Answer &answer) { answerOnce(returnDelay, answer); });
        table.deliver();
    });
}

} // namespace monsoonward
