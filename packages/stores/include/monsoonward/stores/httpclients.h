#pragma once

#include "monsoonward/stores/hostlist.h"
#include "monsoonward/stores/httpworkers.h"
#include "monsoonward/stores/objectstore.h"
#include "monsoonward/stores/tableservice.h"

namespace monsoonward
{

/// @brief Address of one platform service and the timeout of each call to it.
struct HttpService
{
    Address address;
    Duration timeout = std::chrono::seconds(2);
    MONSOONWARD_FIELDS(address, timeout)
};

/// @brief Client of the table service over the JSON gateway of etcd's v3 API. A row's version is its mod_revision,
/// which is never reused, not even after the row was deleted.
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

/// @brief Client of the object store: GET and PUT of /objects/NAME. PUT sends `If-None-Match: *`, so that it never
/// overwrites an object.
class HttpObjectStore : public ObjectStore
{
public:
    HttpObjectStore(HttpWorkers &workers, const HttpService &service);
    void get(const std::string &name, GetCallback done) override;
    /// Succeeds also when an object of that name exists already: names contain the hash of the content.
    void put(const std::string &name, const std::string &bytes, PutCallback done) override;

private:
    HttpWorkers &m_workers;
    HttpService m_service;
};

/// @brief Client of the host list: GET /hosts, in the JSON format of Prometheus' HTTP service discovery. Hosts of a
/// target group with the label `state` = `leaving` are leaving.
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
