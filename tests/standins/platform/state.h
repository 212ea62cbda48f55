#pragma once

#include "httpserver.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

/// HTTP interface of the platform's stand-in:
///   /v3/kv/range, /v3/kv/txn  table service (subset of the JSON gateway of etcd's version 3 interface)
///   /objects/NAME             object store (GET, PUT with If-None-Match: *)
///   /hosts                    host list (JSON of Prometheus' HTTP service discovery)
///   POST /admin/faults        {"down": bool, "slowMs": n, "loseNextAnswer": bool}
///   POST /admin/hosts         sets the host list
///   GET /admin/stats          numbers of reads, writes and bytes so far
namespace standin
{

struct Row
{
    std::string value;
    std::uint64_t modRevision = 0;
    std::uint64_t version = 0;
};

/// @brief Faults of the table service and the object store. POST /admin/faults sets them.
struct Faults
{
    bool down = false; ///< connections are closed without an answer, nothing takes effect
    unsigned slowMs = 0; ///< delay before each call is handled
    bool loseNextAnswer = false; ///< the next write takes effect, then its connection is closed without an answer
};

struct Answer
{
    unsigned status = 200;
    std::string body;
    bool cut = false; ///< close the connection without an answer
};

/// @brief Data of the stand-in and the handlers of its HTTP interface.
class State
{
public:
    void handle(const HttpRequest &call, HttpResponder &responder);

private:
    Answer answer(const HttpRequest &call);
    Answer handleAdmin(const HttpRequest &call);
    Answer handlePlatform(const HttpRequest &call);
    Answer handleRange(const std::string &body) const;
    Answer handleTxn(const std::string &body);
    Answer handleObject(const HttpRequest &call);
    void count(const HttpRequest &call, const Answer &answer);

    std::mutex m_mutex;
    std::map<std::string, Row> m_rows;
    std::map<std::string, std::string> m_objects;
    std::string m_hosts = "[]";
    std::uint64_t m_revision = 0;
    Faults m_faults;
    std::uint64_t m_reads = 0;
    std::uint64_t m_writes = 0;
    std::uint64_t m_bytesIn = 0;
    std::uint64_t m_bytesOut = 0;
};

} // namespace standin
