#pragma once

#include "distribution.h"

namespace monsoonward
{

/// @brief A change of the configuration, and other rows to write in the same transaction.
struct Commit
{
    Revision base = 0; ///< revision that the change was computed against
    ConfigurationChange change;
    std::vector<RowWrite> rows;
    MONSOONWARD_FIELDS(base, change, rows)
};

/// @brief Writes a change of the configuration to the store if its base is still the current revision.
class Committer
{
public:
    /// Receives the new revision. Errors: Conflict (the base is not the current revision, or a row had another version
    /// than expected), Unavailable, Unknown (the write may have taken effect).
    using Callback = std::function<void(const Result<Revision> &)>;

    Committer(GuardedStore &store, Distribution &distribution);

    void commit(const Commit &commit, const Callback &done);

private:
    struct PreparedCommit
    {
        Commit commit;
        Configuration next;
        Delta delta;
        std::string deltaBytes;
        HeadRecord head;
        std::uint64_t headVersion = 0;
    };

    void onHeadRead(const Commit &commit, const std::optional<Row> &row, const Callback &done);
    void putSnapshot(const PreparedCommit &prepared, const Callback &done);
    void write(const PreparedCommit &prepared, const Callback &done);

    GuardedStore &m_store;
    Distribution &m_distribution;
};

} // namespace monsoonward
