// Measures a request path over HTTP/1.1. Each caller sends requests one after another on a persistent connection.
// Reports latency, requests per second, and the processor time and resident memory of the processes on the path.
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/program_options.hpp>

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

namespace po = boost::program_options;
namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

using Clock = std::chrono::steady_clock;
using Microseconds = std::chrono::duration<double, std::micro>;

/// @brief The requests to send.
struct Load
{
    std::uint16_t port = 0;
    std::string key;
    std::string body;
    unsigned callers = 1;
    unsigned seconds = 5;
};

/// @brief Measurements of one caller.
struct CallerResult
{
    std::vector<double> latencies; ///< microseconds
    std::size_t refused = 0; ///< answers other than 200
};

/// @brief Resource usage of one process, from /proc/PID/stat.
struct ProcessUsage
{
    double cpuSeconds = 0;
    double residentKiB = 0;
};

ProcessUsage readUsage(const std::string &pid)
{
    std::ifstream stat("/proc/" + pid + "/stat");
    std::string text;
    std::getline(stat, text);
    std::istringstream fields(text.substr(std::min(text.rfind(')'), text.size() - 1) + 1));
    std::vector<std::string> values;
    for (std::string it; fields >> it;) {
        values.push_back(it);
    }
    // Indices of the fields after the program name, which is in parentheses and may contain spaces.
    constexpr std::size_t userTime = 11;
    constexpr std::size_t systemTime = 12;
    constexpr std::size_t residentPages = 21;
    if (values.size() <= residentPages) {
        throw std::runtime_error("cannot read the usage of process " + pid);
    }
    const double ticks = std::stod(values[userTime]) + std::stod(values[systemTime]);
    const double pageKiB = static_cast<double>(sysconf(_SC_PAGESIZE)) / 1024;
    return {ticks / static_cast<double>(sysconf(_SC_CLK_TCK)), std::stod(values[residentPages]) * pageKiB};
}

CallerResult runCaller(const Load &load, Clock::time_point end)
{
    CallerResult result;
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect({asio::ip::address_v4::loopback(), load.port});
    socket.set_option(asio::ip::tcp::no_delay(true));
    http::request<http::string_body> request(http::verb::post, "/v1/completions", 11);
    request.set(http::field::host, "localhost");
    request.set(http::field::content_type, "application/json");
    request.set(http::field::authorization, "Bearer " + load.key);
    request.body() = load.body;
    request.prepare_payload();
    boost::beast::flat_buffer buffer;
    while (Clock::now() < end) {
        const auto begin = Clock::now();
        http::write(socket, request);
        http::response<http::string_body> response;
        http::read(socket, buffer, response);
        result.latencies.push_back(Microseconds(Clock::now() - begin).count());
        result.refused += response.result() == http::status::ok ? 0 : 1;
    }
    return result;
}

double quantile(const std::vector<double> &sorted, double fraction)
{
    return sorted.empty() ? 0 : sorted[static_cast<std::size_t>(fraction * static_cast<double>(sorted.size() - 1))];
}

void runAndReport(const Load &load, const std::vector<std::string> &pids)
{
    std::vector<ProcessUsage> before;
    before.reserve(pids.size());
    for (const auto &it : pids) {
        before.push_back(readUsage(it));
    }
    const auto begin = Clock::now();
    const auto end = begin + std::chrono::seconds(load.seconds);
    std::vector<CallerResult> results(load.callers);
    std::vector<std::thread> threads;
    threads.reserve(results.size());
    for (auto &it : results) {
        threads.emplace_back([&load, &it, end] { it = runCaller(load, end); });
    }
    for (auto &it : threads) {
        it.join();
    }
    const double seconds = std::chrono::duration<double>(Clock::now() - begin).count();
    CallerResult all;
    for (const auto &it : results) {
        all.latencies.insert(all.latencies.end(), it.latencies.begin(), it.latencies.end());
        all.refused += it.refused;
    }
    std::sort(all.latencies.begin(), all.latencies.end());
    const auto n = static_cast<double>(all.latencies.size());
    std::cout << load.callers << " callers, body " << load.body.size() << " bytes: " << n / seconds
              << " requests/s, p50 " << quantile(all.latencies, 0.5) << " us, p99 " << quantile(all.latencies, 0.99)
              << " us, not 200: " << all.refused << "\n";
    for (std::size_t it = 0; it < pids.size(); ++it) {
        const auto after = readUsage(pids[it]);
        constexpr double microsecondsPerSecond = 1e6;
        std::cout << "  process " << pids[it] << ": "
                  << (after.cpuSeconds - before[it].cpuSeconds) * microsecondsPerSecond / n
                  << " us of processor a request, " << after.residentKiB << " KiB resident\n";
    }
}

} // namespace

int main(int argc, char **argv)
{
    Load load;
    std::vector<std::string> pids;
    std::string model;
    std::size_t promptBytes = 0;
    po::options_description options("monsoonward_path");
    auto add = options.add_options();
    add("help", "print this text");
    add("port", po::value(&load.port)->required(), "HTTP/1.1 port on loopback: an entry's or an engine's");
    add("key", po::value(&load.key)->default_value(""), "customer's key");
    add("model", po::value(&model)->default_value("model"), "service");
    add("prompt-bytes", po::value(&promptBytes)->default_value(64), "length of the prompt");
    add("callers", po::value(&load.callers)->default_value(1), "requests in progress at once");
    add("seconds", po::value(&load.seconds)->default_value(5), "length of the run");
    add("pid", po::value(&pids)->multitoken(), "processes whose use is reported");
    po::variables_map map;
    try {
        po::store(po::parse_command_line(argc, argv, options), map);
        if (map.count("help") != 0) {
            std::cout << options;
            return 0;
        }
        po::notify(map);
        load.body =
            R"({"model":")" + model + R"(","max_tokens":1,"prompt":")" + std::string(promptBytes, 'p') + R"("})";
        runAndReport(load, pids);
    } catch (const std::exception &error) {
        std::cerr << "monsoonward_path: " << error.what() << "\n";
        return 2;
    }
    return 0;
}
