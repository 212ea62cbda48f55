#include "recordsjson.h"

namespace monsoonward
{

namespace
{

using Json = nlohmann::json;

constexpr std::size_t revisionDigits = 20;

template<class Record>
std::string textOfRecord(const Record &record)
{
    return Json(record).dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace

std::string paddedText(Revision revision)
{
    const auto digits = std::to_string(revision);
    return std::string(revisionDigits - digits.size(), '0') + digits;
}

std::string encodeRecord(const HeadRecord &record)
{
    return textOfRecord(record);
}

std::string encodeRecord(const PlanRecord &record)
{
    return textOfRecord(record);
}

std::string encodeRecord(const ExecutionRecord &record)
{
    return textOfRecord(record);
}

std::string encodeRecord(const LogRecord &record)
{
    return textOfRecord(record);
}

template<class Record>
Result<Record> decodeRecord(const std::string &text)
{
    try {
        return Json::parse(text).get<Record>();
    } catch (const std::exception &error) {
        return Error {ErrorCode::Invalid, std::string("malformed row in the table: ") + error.what()};
    }
}

template Result<HeadRecord> decodeRecord(const std::string &text);
template Result<PlanRecord> decodeRecord(const std::string &text);
template Result<ExecutionRecord> decodeRecord(const std::string &text);
template Result<LogRecord> decodeRecord(const std::string &text);

} // namespace monsoonward
