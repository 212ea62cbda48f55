// A stand-in for the platform: serves table service, object store and host list on one port.
#include "state.h"

#include <boost/program_options.hpp>

#include <iostream>

namespace po = boost::program_options;

int main(int argc, char **argv)
{
    std::uint16_t port = 0;
    po::options_description options("standin_platform");
    auto add = options.add_options();
    add("help", "print this text");
    add("port", po::value(&port)->default_value(0), "port on loopback; 0: any, printed");
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
    standin::State state;
    standin::HttpServer server(port, [&state](const standin::HttpRequest &request, standin::HttpResponder &responder) {
        state.handle(request, responder);
    });
    std::cout << "port " << server.port() << std::endl;
    server.run();
}
