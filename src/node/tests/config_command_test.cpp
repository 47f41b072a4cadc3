#include "node/config_command.h"

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace {

struct ConfigFiles {
    const std::filesystem::path folder { std::filesystem::temp_directory_path()
        / fmt::format("fulmar-config-{}", ::getpid()) };
    std::ostringstream out;

    ConfigFiles() { std::filesystem::create_directory(folder); }
    ~ConfigFiles() { std::filesystem::remove_all(folder); }

    std::string write(const std::string& name, const std::string& text)
    {
        auto path = (folder / name).string();
        std::ofstream(path) << text;
        return path;
    }
    int run(std::vector<std::string> words)
    {
        words.insert(words.begin(), "fulmarramp");
        std::vector<const char*> arguments;
        for (const auto& word : words)
            arguments.push_back(word.c_str());
        return fulmar::node::runConfigCommand(int(arguments.size()), arguments.data(), out);
    }
};

std::string configOf(int version, const std::string& key)
{
    return fmt::format(
        R"({{"version":{},"routes":[{{"name":"r","host":"h","path-prefix":"/a/","service":"p"}}],)"
        R"("services":[{{"name":"p"}}],"tenants":[{{"name":"t","api-keys":["{}"],"weight":1}}]}})",
        version, key);
}

} // namespace

BOOST_AUTO_TEST_SUITE(config_command)

// Guards against a script that sends a configuration with errors, and against a key in the output.
BOOST_FIXTURE_TEST_CASE(TheExitStatusTellsErrorsFromUnreadableFiles, ConfigFiles)
{
    auto inForce = write("1", configOf(1, "secret-1"));
    auto next = write("2", configOf(2, "secret-2"));
    BOOST_TEST(run({ "--check-config", next, "--against", inForce }) == 0);
    BOOST_TEST(out.str() == "change: team t: keys added: 1\nchange: team t: keys removed: 1, 1 left\n");
    BOOST_TEST(run({ "--check-config", inForce, "--against", next }) == 1);
    BOOST_TEST(run({ "--check-config", write("3", R"({"version":3,"routes":[{"name":"secret"}]})") }) == 2);
    BOOST_TEST(run({ "--check-config", (folder / "missing").string() }) == 2);
    BOOST_TEST(run({ "--check-config", next, "--against", (folder / "missing").string() }) == 2);
    BOOST_TEST(run({ "--check-config" }) == 2);
    BOOST_TEST(out.str().find("secret") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
