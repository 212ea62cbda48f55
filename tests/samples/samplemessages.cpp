#include "samplemessages.h"

namespace monsoonward
{

std::vector<SampleMessage> sampleMessages()
{
    using namespace std::chrono_literals;
    const RequestId id {{0x123456789abcdef0, 0xfedcba9876543210}, 1000000};
    const ClaimId claim {{0x1111111111111111, 0x2222222222222222}, 500000};
    const TargetName target {"survey-llm-jm-south-a-07"};
    const ServiceName service {"survey-llm"};
    const CustomerName customer {"bakeries-0042"};
    const EngineName engine {"survey-llm-jm-south-a-07-1"};
    const std::vector<PrefixHash> prefixes(8, 0xabcdef0123456789);
    const Peer peer {HostName {"jm-south-a-target-07"}, {3, 4}};
    const std::vector<std::pair<std::string, std::string>> headers = {{"content-type", "application/json"},
                                                                      {"accept", "text/event-stream"}};
    const std::vector<TierLoad> tiers = {{Tier(0), 1, 2000}, {Tier(1), 5, 9000}, {Tier(2), 40, 80000}};
    return {
        {"Reserve", Reserve {id, target, service, customer, 1.5, Tier(1), 10s, 2000, 400, prefixes}},
        {"Withdraw", Withdraw {id, target}},
        {"Cancel", Cancel {id, claim}},
        {"RefusedAck", RefusedAck {claim}},
        {"HandOver", HandOver {id, claim, "POST", "/v1/completions", headers, std::string(2000, 'x')}},
        {"ClaimRejected", ClaimRejected {id, claim}},
        {"Claim", Claim {id, claim, target, engine}},
        {"AnswerBegin", AnswerBegin {id, claim, 200, headers}},
        {"AnswerChunk", AnswerChunk {id, claim, 4096, std::string(64, 'y')}},
        {"AnswerEnd", AnswerEnd {id, claim, 4160, Verdict::Completed, "", 2000, 1500, 400}},
        {"Refused", Refused {id, claim, "the target is draining"}},
        {"CancelReply", CancelReply {id, claim, Verdict::NotRun}},
        {"ReservationDropped", ReservationDropped {id, target, RefusalReason::Expired}},
        {"TargetStatus", TargetStatus {target, service, true, 3, 29, 12000.5, 40.25, tiers, prefixes, prefixes}},
        {"Heartbeat", Heartbeat {peer, HostRole::Target, 123456, 3900, false}},
        {"ConfigurationOffer", ConfigurationOffer {3899, 3900, std::string(200, 'z')}},
        {"ConfigurationRequest", ConfigurationRequest {3899}},
        {"CloseTiers", CloseTiers {service, Tier(2), 7, 5s}},
        {"TiersClosed", TiersClosed {service, Tier(2), 7}},
        {"UsageReport", UsageReport {{{customer, 3, 9000, 1.5, 4000.5}, {CustomerName {"cement-0007"}, 1, 100, 0, 0}}}},
        {"SuspectNotice", SuspectNotice {0x9876543210fedcba, service, 1, 600s, id.entry}},
        {"ClaimQuery", ClaimQuery {id, 9}},
        {"ClaimQueryReply", ClaimQueryReply {id, 9, Verdict::NotRun}},
    };
}

} // namespace monsoonward
