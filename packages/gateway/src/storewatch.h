#pragma once

#include "gatewaycore.h"
#include "tablefeed.h"

#include <functional>
#include <set>

namespace monsoonward
{

/// @brief Follows the store's tables and keeps the proof that the active configuration is current. Gateways share their
/// proofs in load reports: few of them ask the store, and each asks for itself if it hears nothing in time.
class StoreWatch : public RegistrationReader
{
public:
    /// @param handler gets the rows and states of the tables; must outlive this
    /// @param reportProof called after a new proof of this gateway that the others should hear of at once
    StoreWatch(GatewayCore &core, TableFeedHandler &handler, Random &random, std::function<void()> reportProof);
    StoreWatch(const StoreWatch &) = delete;
    StoreWatch &operator=(const StoreWatch &) = delete;
    ~StoreWatch() override;

    void start();
    /// Sets the other gateways of this region, which take turns in asking for proofs.
    void setRegionHosts(std::vector<HostName> hosts);
    /// The store's configuration was read. It may be older than the active one after a restore.
    void configurationRead(Revision revision);
    /// Rows of a table were read. To be called before upToDate().
    void rowsRead(const std::string &table, const std::vector<TableRow> &rows);
    /// To be called when a table is up to date, after its rows have been applied.
    void upToDate(const std::string &table, const ReadTime &read);
    /// A call for a table has failed.
    void callFailed(const std::string &table);
    /// The store was restored from a copy.
    void storeRestored();
    /// Polls every table now, beside the long polls.
    void pollAll();
    /// Takes over a proof that another gateway reported, and notes tables in which others have seen changes.
    void learnFromPeer(const StoreKnowledge &reported);
    /// Asks the store for a proof if it is this gateway's turn, and for changes that others have seen for some time. To
    /// be called several times a second.
    void pollIfDue(TimePoint now);
    /// Polls the table of the configuration and of orders now.
    void pollOrders();
    /// Polls the table of states that gateways write, if it is followed.
    void pollStates();
    /// @return the earliest time at which the store's clock can have shown @p storeTimeMs; nothing if that isn't known
    std::optional<TimePoint> localTime(std::int64_t storeTimeMs, TimePoint now) const;
    StoreEra era() const;
    /// @return number of gateways of the region that ask before this one
    std::size_t proofRank(TimePoint now) const;

    void readNow(std::function<void()> done) override;

private:
    struct PendingReader
    {
        TimePoint askedAt;
        std::function<void()> done;
    };

    std::unique_ptr<TableFeed> makeFeed(const std::string &table, Duration changeDelay, TableFeedHandler &handler);
    /// @return the latest time for which it is certain that the answer tells of all changes from before it
    TimePoint asOf(const ReadTime &read) const;
    /// Notes whether the registrations may have changed since they were read, as an answer of the store shows.
    /// @param version of the whole store at @p at
    void noteStoreVersion(std::uint64_t version, TimePoint at);
    /// Notes that the store has a version which may be that of a newer registration.
    void noteUnread(std::uint64_t version, TimePoint at);
    /// @return whether all versions up to this one are known to be those of other tables, or have been read
    bool areRegistrationsReadUpTo(std::uint64_t version) const;
    /// Calls the readers whose registrations were read, and reads again for the others.
    void continueReaders();
    void finishReaders(std::vector<PendingReader> readers);
    bool isNewestRevision() const;
    /// Takes the last answer about the configuration for a proof, if the peers have been asked and hold nothing newer.
    void recordPendingProof();
    void recordOwnProof(const ReadTime &read);
    bool isProofDue(TimePoint now) const;
    /// Finds out whether a newer configuration exists than the active one, and logs when that changes.
    void noteConfigurationBehind(TimePoint now);
    /// @return whether an answer about changes of the configuration has been arriving since the last call. One without
    /// changes is too short for that.
    bool areChangesArriving();

    GatewayCore &m_core;
    std::function<void()> m_reportProof;
    double m_spread; // 0 to 1, of the time at which this gateway asks
    StoreEraTracker m_eras;
    StoreClock m_storeClock;
    std::unique_ptr<TableFeed> m_configurationFeed;
    std::unique_ptr<TableFeed> m_engineFeed;
    std::unique_ptr<TableFeed> m_gatewayFeed;
    std::unique_ptr<TableFeed> m_stateFeed; // null without roll-outs
    Revision m_storedRevision = 0;
    std::optional<ReadTime> m_pendingProof; // an answer that came before the peers had been asked
    std::vector<HostName> m_regionHosts;
    std::vector<PendingReader> m_readers;
    unsigned m_readings = 0; // since the oldest of m_readers asked
    boost::asio::steady_timer m_readerTimer;
    std::set<std::uint64_t> m_otherVersions; // at which rows of other tables changed since the registrations were read
    std::optional<std::pair<std::uint64_t, TimePoint>> m_unreadVersion; // the newest one of the store, and its time
    std::optional<TimePoint> m_enginesBehindSince; // the store may hold a newer row since then
    std::optional<TimePoint> m_gatewaysBehindSince;
    bool m_wasReceiving = false; // an answer about the configuration, at the last look
};

} // namespace monsoonward
