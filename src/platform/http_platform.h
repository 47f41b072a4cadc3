#pragma once

#include "platform/table.h"
#include "platform/workers.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace fulmar {

struct HttpPlatformOptions {
    // "host:port" of the platform's HTTP interface.
    std::string address;
    std::chrono::milliseconds connectTimeout { 500 };
    // Time-out of a whole call, connecting included.
    std::chrono::milliseconds timeout { 2'000 };
};

// Totals of a client's platform calls so far; bytes include HTTP headers.
struct PlatformTraffic {
    std::uint64_t reads { 0 };
    std::uint64_t writes { 0 };
    std::uint64_t failures { 0 };
    std::uint64_t bytesSent { 0 };
    std::uint64_t bytesReceived { 0 };
};

// Client of the platform over HTTP with JSON bodies. Keeps one connection open and reuses it. Not
// thread-safe. No write is ever sent twice: a reply that is lost, late, truncated or a server error gives
// MayHaveRun, a connection that was never made gives NotRun, both with StoreUnavailable.
class HttpPlatform {
public:
    explicit HttpPlatform(HttpPlatformOptions);
    HttpPlatform(HttpPlatform&&) noexcept;
    HttpPlatform& operator=(HttpPlatform&&) noexcept;
    ~HttpPlatform();

    [[nodiscard]] Result<Version> commit(const Transaction&);
    [[nodiscard]] Result<Changes> read(const std::string& prefix, Version since);
    [[nodiscard]] Result<void> putObject(const std::string& name, const std::string& content);
    [[nodiscard]] Result<std::string> getObject(const std::string& name);
    [[nodiscard]] Result<std::vector<ListedVm>> listVms();
    [[nodiscard]] Result<void> rebootVm(const VmId&, const OperationId&);

    [[nodiscard]] Result<void> startTask(const VmId& worker, const TaskStart&);
    [[nodiscard]] Result<void> renewLeases(
        const VmId& worker, const std::vector<TaskId>&, std::chrono::milliseconds lease);
    [[nodiscard]] Result<void> orderTask(const VmId& worker, const TaskId&, TaskOrder, const OperationId&);
    // Fetches only the reports that changed since the previous call.
    [[nodiscard]] Result<std::vector<WorkerReport>> listWorkers();

    [[nodiscard]] const PlatformTraffic& traffic() const;

private:
    class Session;
    std::unique_ptr<Session> m_session;
};

static_assert(PlatformClient<HttpPlatform> && WorkerClient<HttpPlatform>);

} // namespace fulmar
