#include "eventloop.h"

namespace monsoonward
{

void runEventLoop(boost::asio::io_context &io, const std::function<void(const std::string &)> &onError)
{
    while (true) {
        try {
            io.run();
            return;
        } catch (const std::exception &error) {
            onError(error.what());
        }
    }
}

} // namespace monsoonward
