#pragma once

#include "monsoonward/dispatch/heldprompts.h"
#include "monsoonward/dispatch/prefillmodel.h"
#include "monsoonward/dispatch/servingconfiguration.h"

namespace monsoonward
{

/// @brief What an engine saves on a request because it holds the beginning of the prompt.
struct PromptSaving
{
    double tokens = 0; ///< expected number that it needn't read
    Duration time {}; ///< that reading them would take
    MONSOONWARD_FIELDS(tokens, time)
};

/// @brief The requests in progress at an engine.
struct EngineUse
{
    double inProgress = 0; ///< from all daemons
    double own = 0; ///< sent by this daemon
    MONSOONWARD_FIELDS(inProgress, own)
};

/// @brief Estimates what engines save on requests whose prompts they have read in part. See
/// docs/design/held-prompts.md.
class PromptSavings
{
public:
    /// @param reuseWindow see HeldPrompts; 0: nothing is saved
    explicit PromptSavings(Duration reuseWindow);

    /// Takes over how much memory the engines of each service have. Where it isn't stated, nothing is saved.
    void configure(const ServingConfiguration &configuration);
    /// @return whether engines of the service may save anything
    bool isPossible(const ServiceName &service) const;
    /// The request was sent to the engine.
    void requestSent(const EngineRecord &engine, const PromptBeginnings &prompt, TimePoint now);
    /// The first bytes of an answer have arrived.
    /// @param tokensRead of the prompt
    /// @param length time from sending the request to the first bytes
    void firstBytesReceived(const ServiceName &service, double tokensRead, Duration length);
    /// @param slowness of the engine relative to its service
    PromptSaving savingAt(const EngineRecord &engine,
                          const PromptBeginnings &prompt,
                          const EngineUse &use,
                          double slowness,
                          TimePoint now) const;
    /// The engine was removed.
    void forget(const EngineName &engine);

private:
    bool m_isEnabled;
    HeldPrompts m_held;
    PrefillModel m_prefill;
    std::map<ServiceName, double> m_memoryTokens; // of one engine
    std::map<EngineName, EngineRun> m_runs; // that requests were sent to last
};

} // namespace monsoonward
