#pragma once

#include "node/job_call.h"

#include <asio/io_context.hpp>
#include <memory>

namespace fulmar::node {

// Serves other processes' calls of a shard by gRPC. The handler runs on the loop's thread and may answer
// later, from there.
class ShardRpcServer {
public:
    using Handler = std::function<void(JobCall, OnJobReply)>;

    // Fails (NotRun, Internal) if the address cannot be bound.
    [[nodiscard]] static Result<std::unique_ptr<ShardRpcServer>> start(
        const std::string& address, asio::io_context&, Handler);

    virtual ~ShardRpcServer() = default;
};

// Calls the holder of a shard. Replies arrive on the loop's thread.
class ShardRpcClient {
public:
    explicit ShardRpcClient(asio::io_context&);
    ~ShardRpcClient();
    ShardRpcClient(const ShardRpcClient&) = delete;
    ShardRpcClient& operator=(const ShardRpcClient&) = delete;

    // A call that never had a connection is replied to with NotHolder, any other failure with Uncertain.
    void call(const std::string& address, const JobCall&, std::chrono::milliseconds timeout, OnJobReply);

private:
    class Channels;
    std::unique_ptr<Channels> m_channels;
};

} // namespace fulmar::node
