#pragma once

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <spawn.h>
#include <string>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace fulmar::node::test {

// What becomes of the program's log lines.
enum class ProgramOutput : std::uint8_t { Shown, Dropped };

// The program in a process of its own, with these settings.
class ProgramRun {
public:
    explicit ProgramRun(const std::string& settings, std::vector<std::string> options = {},
        ProgramOutput output = ProgramOutput::Shown)
    {
        std::filesystem::create_directory(m_folder);
        auto file = (m_folder / "node.ini").string();
        std::ofstream(file) << settings;
        std::vector<std::string> words { FULMARRAMP_PROGRAM, "--settings", file };
        words.insert(words.end(), options.begin(), options.end());
        std::vector<char*> arguments;
        for (auto& word : words)
            arguments.push_back(word.data());
        arguments.push_back(nullptr);
        posix_spawn_file_actions_t files;
        ::posix_spawn_file_actions_init(&files);
        auto errors = (m_folder / "errors").string();
        ::posix_spawn_file_actions_addopen(
            &files, STDERR_FILENO, errors.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
        if (output == ProgramOutput::Dropped)
            ::posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, "/dev/null", O_WRONLY, 0);
        BOOST_REQUIRE(
            ::posix_spawn(&m_process, arguments.front(), &files, nullptr, arguments.data(), environ) == 0);
        ::posix_spawn_file_actions_destroy(&files);
    }
    ProgramRun(const ProgramRun&) = delete;
    ProgramRun& operator=(const ProgramRun&) = delete;
    ~ProgramRun()
    {
        if (m_process > 0) {
            signal(SIGKILL);
            wait();
        }
        std::filesystem::remove_all(m_folder);
    }

    [[nodiscard]] pid_t id() const { return m_process; }
    void signal(int number) const { ::kill(m_process, number); }
    // Status, as of waitpid().
    int wait()
    {
        int status = 0;
        BOOST_TEST(::waitpid(std::exchange(m_process, 0), &status, 0) > 0);
        return status;
    }
    // What it has written to standard error.
    [[nodiscard]] std::string errors() const
    {
        std::ifstream file(m_folder / "errors");
        return { std::istreambuf_iterator<char>(file), {} };
    }

private:
    const std::filesystem::path m_folder { std::filesystem::temp_directory_path()
        / fmt::format("fulmar-node-{}", ::getpid()) };
    pid_t m_process { 0 };
};

} // namespace fulmar::node::test
