#include "core/crash_log.h"

#include "core/log.h"

#include <array>
#include <csignal>
#include <cstdlib>
#include <cxxabi.h>
#include <exception>
#include <execinfo.h>
#include <fmt/format.h>
#include <string>
#include <tuple>
#include <unistd.h>

namespace fulmar {

namespace {

constexpr std::array fatalSignals { SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT };
constexpr int maxFrames = 32;
constexpr std::size_t signalStackBytes = 64 * 1024;

// Level and process, as in each line of the log. Prepared before, as a signal handler may not allocate.
std::string& linePrefix()
{
    static std::string prefix;
    return prefix;
}

void writeToStandardError(std::string_view text)
{
    // Nothing can be done about a failure at this point.
    [[maybe_unused]] auto written = ::write(STDERR_FILENO, text.data(), text.size());
}

std::string describeException()
{
    const auto* type = abi::__cxa_current_exception_type();
    if (!type)
        return "none";
    try {
        throw;
    } catch (const std::exception& error) {
        return fmt::format("{}: {}", type->name(), error.what());
    } catch (...) {
        return type->name();
    }
}

[[noreturn]] void onTerminate()
{
    auto line = formatFields(
        "process-ends", { { "reason", "uncaught-exception" }, { "exception", describeException() } });
    writeToStandardError(linePrefix() + line + "\n");
    std::abort();
}

void onFatalSignal(int signal)
{
    writeToStandardError(linePrefix());
    writeToStandardError("event=process-ends reason=signal signal=");
    std::array<char, 3> number { char('0' + signal / 10 % 10), char('0' + signal % 10), '\n' };
    writeToStandardError({ number.data(), number.size() });
    std::array<void*, maxFrames> frames {};
    ::backtrace_symbols_fd(frames.data(), ::backtrace(frames.data(), maxFrames), STDERR_FILENO);
    std::signal(signal, SIG_DFL);
    std::raise(signal);
}

} // namespace

void installCrashLog(std::string_view processName)
{
    linePrefix() = fmt::format("level=FATAL process={} ", processName);
    // The first call loads a library, which a signal handler may not.
    std::array<void*, 1> frame {};
    std::ignore = ::backtrace(frame.data(), 1);
    std::set_terminate(onTerminate);
    // A stack that has overflowed has no room for the handler.
    static std::array<char, signalStackBytes> signalStack;
    stack_t stack {};
    stack.ss_sp = signalStack.data();
    stack.ss_size = signalStack.size();
    ::sigaltstack(&stack, nullptr);
    struct sigaction action { };
    action.sa_handler = onFatalSignal;
    action.sa_flags = SA_ONSTACK;
    for (auto signal : fatalSignals)
        ::sigaction(signal, &action, nullptr);
}

} // namespace fulmar
