// A stand-in for a plain HTTP service: echoes each request and lists all of them at /runs.
#include "httpserver.h"

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <iostream>
#include <mutex>
#include <thread>

namespace po = boost::program_options;

namespace
{

using Json = nlohmann::json;

class PlainService
{
public:
    explicit PlainService(unsigned delayMs)
        : m_delay(delayMs)
    {
    }

    void handle(const standin::HttpRequest &request, standin::HttpResponder &responder)
    {
        if (request.target == "/runs") {
            const std::lock_guard<std::mutex> lock(m_mutex);
            responder.respond(200, "application/json", m_runs.dump());
            return;
        }
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_runs.push_back({{"request", request.header("X-Request-Id")},
                              {"key", request.header("Idempotency-Key")},
                              {"method", request.method},
                              {"target", request.target}});
        }
        std::this_thread::sleep_for(m_delay);
        const Json answer {{"method", request.method}, {"target", request.target}, {"body", request.body}};
        responder.respond(200, "application/json", answer.dump(-1, ' ', false, Json::error_handler_t::replace));
    }

private:
    std::chrono::milliseconds m_delay;
    std::mutex m_mutex;
    Json m_runs = Json::array();
};

} // namespace

int main(int argc, char **argv)
{
    std::uint16_t port = 0;
    unsigned delayMs = 0;
    po::options_description options("standin_plain");
    auto add = options.add_options();
    add("help", "print this text");
    add("port", po::value(&port)->default_value(0), "port on loopback; 0: any, printed");
    add("delay-ms", po::value(&delayMs)->default_value(0), "time that each call takes");
    po::variables_map map;
    try {
        po::store(po::parse_command_line(argc, argv, options), map);
        po::notify(map);
    } catch (const std::exception &error) {
        std::cerr << error.what() << "\n";
        return 2;
    }
    if (map.count("help") != 0) {
        std::cout << options;
        return 0;
    }
    PlainService service(delayMs);
    standin::HttpServer server(port,
                               [&service](const standin::HttpRequest &request, standin::HttpResponder &responder) {
                                   service.handle(request, responder);
                               });
    std::cout << "port " << server.port() << std::endl;
    server.run();
}
