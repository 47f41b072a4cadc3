#pragma once

#include "node/job_call.h"

#include <asio/io_context.hpp>
#include <memory>

namespace fulmar::node {

// gRPC server for calls forwarded by other processes. The handler runs on the loop's thread and may reply
// later on the same thread.
class ShardRpcServer {
public:
    using Handler = std::function<void(JobCall, OnJobReply)>;

    // Port 0 is any free port. Fails (NotRun, Internal) if the address cannot be bound.
    [[nodiscard]] static Result<std::unique_ptr<ShardRpcServer>> start(
        const std::string& address, asio::io_context&, Handler);

    virtual ~ShardRpcServer() = default;

    // "host:port" with the port that is bound.
    [[nodiscard]] virtual std::string address() const = 0;
};

// gRPC client for calls to holders of shards. Replies arrive on the loop's thread.
class ShardRpcClient {
public:
    explicit ShardRpcClient(asio::io_context&);
    ~ShardRpcClient();
    ShardRpcClient(const ShardRpcClient&) = delete;
    ShardRpcClient& operator=(const ShardRpcClient&) = delete;

    // Replies NotHolder if the call never got a connection, and Uncertain after any other failure.
    void call(const std::string& address, const JobCall&, std::chrono::milliseconds timeout, OnJobReply);

private:
    class Channels;
    std::unique_ptr<Channels> m_channels;
};

} // namespace fulmar::node
