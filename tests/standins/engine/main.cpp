// A stand-in for a model engine: the HTTP interface common to model servers, with configurable speed and faults.
#include "engineapi.h"

#include <boost/program_options.hpp>

#include <iostream>

namespace po = boost::program_options;

int main(int argc, char **argv)
{
    standin::EngineSpeed speed;
    std::uint16_t port = 0;
    std::string name;
    bool checksFencing = false;
    po::options_description options("standin_engine");
    auto add = options.add_options();
    add("help", "print this text");
    add("port", po::value(&port)->default_value(0), "port on loopback; 0: any, printed");
    add("name", po::value(&name)->default_value("engine"), "name of the model");
    add("prefill", po::value(&speed.prefillTokensPerSecond)->default_value(0), "prompt tokens a second; 0: instant");
    add("decode", po::value(&speed.decodeTokensPerSecond)->default_value(0), "tokens a second; 0: instant");
    add("max-batch", po::value(&speed.maxBatch)->default_value(16), "requests decoded at once");
    add("cache-tokens", po::value(&speed.cacheTokens)->default_value(100000), "size of the prefix cache");
    add("check-fencing", po::bool_switch(&checksFencing), "refuse orders with an old fencing token");
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
    standin::EngineModel model(speed);
    standin::EngineApi api(model, name, checksFencing);
    standin::HttpServer server(port, [&api](const standin::HttpRequest &request, standin::HttpResponder &responder) {
        api.handle(request, responder);
    });
    std::cout << "port " << server.port() << std::endl;
    server.run();
}
