// Prints series of processor time, message size and memory as lines of JSON; tools/capacity turns them into the tables
// of docs/CAPACITY.md.
#include "measure.h"

#include <iostream>
#include <map>

namespace capacity = monsoonward::capacity;

int main(int argc, char **argv)
{
    const std::map<std::string, void (*)()> parts = {{"codec", capacity::measureCodec},
                                                     {"configuration", capacity::measureConfiguration},
                                                     {"entry", capacity::measureEntry},
                                                     {"routes", capacity::measureRoutes},
                                                     {"target", capacity::measureTarget}};
    for (int n = 1; n < argc; ++n) {
        const auto it = parts.find(argv[n]);
        if (it == parts.end()) {
            std::cerr << "usage: capacity_bench codec|configuration|entry|routes|target...\n";
            return 2;
        }
        it->second();
    }
}
