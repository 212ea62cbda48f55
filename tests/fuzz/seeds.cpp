#include <change.h>
#include <monsoonward/transport/transport.h>
#include <sampleconfiguration.h>
#include <samplemessages.h>

#include <filesystem>
#include <fstream>
#include <iostream>

using namespace monsoonward;

namespace
{

void write(const std::filesystem::path &file, const std::string &bytes)
{
    std::filesystem::create_directories(file.parent_path());
    std::ofstream(file, std::ios::binary) << bytes;
}

} // namespace

/// Writes the seed corpora of the binary formats below the given directory, with one file for each message type. They
/// are generated so that they always match the current encoding.
int main(int argc, char **argv)
{
    if (argc != 2) {
        std::cerr << "usage: fuzz_seeds DIRECTORY\n";
        return 2;
    }
    const std::filesystem::path directory = argv[1];
    for (const auto &it : sampleMessages()) {
        write(directory / "message" / it.kind, encode(it.message));
    }
    for (const unsigned customers : {0U, 1U, 5U}) {
        ConfigurationSize size;
        size.customers = customers;
        write(directory / "configuration" / std::to_string(customers), encodeConfiguration(sampleConfiguration(size)));
    }
    ConfigurationSize larger;
    larger.customers = 7;
    larger.targetHosts = 3;
    const auto change = difference(sampleConfiguration(ConfigurationSize {}), sampleConfiguration(larger));
    write(directory / "change" / "mixed", encodeChange(change));
    return 0;
}
