#include <centrecodec.h>

using namespace monsoonward;

/// Decodes a centre report and gives it to a gateway's view of the fleet. What is decoded must survive another round.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const auto message = decodeCentreMessage(data, size);
    if (!message) {
        return 0;
    }
    const auto bytes = encodeCentreMessage(message.value());
    if (!decodeCentreMessage(bytes.data(), bytes.size())) {
        __builtin_trap();
    }
    const auto &report = message.value().report;
    FleetView view {HostName("own")};
    view.setMembers({HostName("own"), report.collector}, TimePoint());
    view.setDataCentres({{report.collector, report.dataCentre}});
    (void)view.addCentreReport(report, TimePoint());
    (void)view.addCentreReport(report, TimePoint());
    view.expire(TimePoint() + std::chrono::hours(1));
    return 0;
}
