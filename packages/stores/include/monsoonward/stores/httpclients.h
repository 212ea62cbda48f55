#pragma once

#include "monsoonward/stores/hostlist.h"
#include "monsoonward/stores/httpworkers.h"
#include "monsoonward/stores/objectstore.h"
#include "monsoonward/stores/tableservice.h"

namespace monsoonward
{

/// @brief Where one platform service is and how long a call may take.
struct HttpService
{
    Address address;
    Duration timeout = std::chrono::seconds(2);
    MONSOONWARD_FIELDS(address, timeout)
};

/// @brief Table service by the JSON gateway of etcd's version 3 interface. A row's version is its mod_revision, which
/// is never used again, not even after the row was deleted.
class HttpTable : public TableService
{
public:
    HttpTable(HttpWorkers &workers, const HttpService &service);
    void read(const std::string &key, ReadCallback done) override;
    void scan(const std::string &prefix, const std::string &after, std::size_t limit, ScanCallback done) override;
    void write(const std::vector<RowWrite> &writes, WriteCallback done) override;

private:
    HttpCall call(const std::string &path, const std::string &body) const;

    HttpWorkers &m_workers;
    HttpService m_service;
};

/// @brief Object store by plain GET and PUT under /objects/. A PUT carries `If-None-Match: *`: objects never change.
class HttpObjectStore : public ObjectStore
{
public:
    HttpObjectStore(HttpWorkers &workers, const HttpService &service);
    void get(const std::string &name, GetCallback done) override;
    /// An object of that name that exists already counts as written, since names carry the hash of the content.
    void put(const std::string &name, const std::string &bytes, PutCallback done) override;

private:
    HttpWorkers &m_workers;
    HttpService m_service;
};

/// @brief Host list in the JSON shape of Prometheus' HTTP service discovery, at /hosts. A group with the label
/// `state` of value `leaving` lists hosts that leave.
class HttpHostList : public HostList
{
public:
    HttpHostList(HttpWorkers &workers, const HttpService &service);
    void fetch(Callback done) override;

private:
    HttpWorkers &m_workers;
    HttpService m_service;
};

} // namespace monsoonward
