#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <fmt/format.h>
#include <string>
#include <vector>

// Prints as many free loopback ports as asked for, one a line. All are held until the last is found, so that
// they differ.
int main(int argc, char** argv)
{
    using asio::ip::tcp;
    try {
        const auto count = argc > 1 ? std::stoul(argv[1]) : 1;
        asio::io_context context;
        std::vector<tcp::acceptor> held;
        held.reserve(count);
        for (std::size_t number = 0; number < count; ++number) {
            held.emplace_back(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
            fmt::print("{}\n", held.back().local_endpoint().port());
        }
    } catch (const std::exception& error) {
        fmt::print(stderr, "standin_ports: {}\n", error.what());
        return 1;
    }
    return 0;
}
