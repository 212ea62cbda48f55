#pragma once

#include "distribution.h"

namespace monsoonward
{

/// @brief A change of the configuration and the other rows that are written with it, all or none.
struct Commit
{
    Revision base = 0; ///< that the change was computed against
    ConfigurationChange change;
    std::vector<RowWrite> rows;
    MONSOONWARD_FIELDS(base, change, rows)
};

/// @brief Writes changes of the configuration on top of the revision that they were computed against.
class Committer
{
public:
    /// Revision that the change led to. Errors: Conflict (another revision is in force, or a condition of a row did not
    /// hold), Unavailable, Unknown.
    using Callback = std::function<void(const Result<Revision> &)>;

    Committer(GuardedStore &store, Distribution &distribution);

    void commit(const Commit &commit, const Callback &done);

private:
    struct Prepared
    {
        Commit commit;
        Configuration next;
        Delta delta;
        std::string deltaBytes;
        HeadRecord head;
        std::uint64_t headVersion = 0;
    };

    void onHeadRead(const Commit &commit, const std::optional<Row> &row, const Callback &done);
    void putSnapshot(const Prepared &prepared, const Callback &done);
    void write(const Prepared &prepared, const Callback &done);

    GuardedStore &m_store;
    Distribution &m_distribution;
};

} // namespace monsoonward
