#include "node/shard_rpc.h"

#include "core/address.h"
#include "node/generated/shard.grpc.pb.h"

#include <asio/post.hpp>
#include <fmt/format.h>
#include <grpcpp/create_channel.h>
#include <grpcpp/resource_quota.h>
#include <grpcpp/server.h>
#include <grpcpp/server_builder.h>
#include <map>
#include <optional>

namespace fulmar::node {

namespace {

// A job has at most 4,000 bytes of spec and 64 steps of a few hundred bytes.
constexpr int maxMessageBytes = 1024 * 1024;
constexpr int maxServerThreads = 4;
constexpr std::chrono::milliseconds shutdownGrace { 100 };
constexpr int reconnectBackoffMs = 200;
// A dead connection is detected by an unanswered keepalive ping.
constexpr int keepaliveIntervalMs = 2'000;
constexpr int keepaliveTimeoutMs = 1'500;

// gRPC's error text for a call that was never assigned to a connection.
constexpr std::string_view neverConnected = "failed to connect to all addresses";

wire::JobCall toWire(const JobCall& call)
{
    wire::JobCall message;
    message.set_kind(wire::JobCall::Kind(call.kind));
    message.set_job_id(call.job.value());
    message.set_queue(call.queue);
    message.set_job(call.encodedJob);
    message.set_shard(call.shard);
    message.set_team(call.team.value());
    if (call.undecided) {
        auto& undecided = *message.mutable_undecided();
        undecided.set_host(call.undecided->host);
        undecided.set_path(call.undecided->path);
        undecided.set_api_key(call.undecided->apiKey);
    }
    return message;
}

// A later release may send other kinds.
bool isKnownKind(const wire::JobCall& message) { return wire::JobCall::Kind_IsValid(message.kind()); }

JobCall fromWire(const wire::JobCall& message)
{
    JobCall call { JobCallKind(message.kind()), JobId(message.job_id()), message.queue(), message.job(),
        message.shard(), TeamId(message.team()), std::nullopt };
    if (message.has_undecided())
        call.undecided
            = { message.undecided().host(), message.undecided().path(), message.undecided().api_key() };
    return call;
}

void toWire(const JobReply& reply, wire::JobReply& message)
{
    message.set_verdict(wire::JobReply::Verdict(reply.verdict));
    message.set_state(reply.state);
    message.set_pending(reply.pending);
    message.set_retry_after_ms(std::uint32_t(reply.retryAfter.count()));
    message.set_reason(reply.reason);
}

JobReply fromWire(const wire::JobReply& message)
{
    auto verdict = wire::JobReply::Verdict_IsValid(message.verdict()) ? JobVerdict(message.verdict())
                                                                      : JobVerdict::Uncertain;
    return { verdict, message.state(), message.pending(), std::chrono::milliseconds(message.retry_after_ms()),
        message.reason() };
}

class Service final : public wire::Shard::CallbackService {
public:
    Service(asio::io_context& loop, ShardRpcServer::Handler handler)
        : m_loop(loop)
        , m_handler(std::move(handler))
    {
    }

    grpc::ServerUnaryReactor* Call(
        grpc::CallbackServerContext* context, const wire::JobCall* request, wire::JobReply* reply) override
    {
        auto* reactor = context->DefaultReactor();
        asio::post(m_loop,
            [this, call = fromWire(*request), isKnown = isKnownKind(*request), context, reactor,
                reply]() mutable {
                // The client has abandoned this attempt and may have started another.
                if (context->IsCancelled()) {
                    reactor->Finish(grpc::Status::CANCELLED);
                    return;
                }
                if (!isKnown) {
                    reactor->Finish({ grpc::StatusCode::UNIMPLEMENTED, "unknown kind of call" });
                    return;
                }
                m_handler(std::move(call), [reactor, reply](const JobReply& result) {
                    toWire(result, *reply);
                    reactor->Finish(grpc::Status::OK);
                });
            });
        return reactor;
    }

private:
    asio::io_context& m_loop;
    const ShardRpcServer::Handler m_handler;
};

class GrpcShardServer final : public ShardRpcServer {
public:
    GrpcShardServer(const std::string& address, asio::io_context& loop, Handler handler)
        : m_service(loop, std::move(handler))
        , m_host(splitAddress(address).first)
    {
        grpc::ResourceQuota quota;
        quota.SetMaxThreads(maxServerThreads);
        grpc::ServerBuilder builder;
        builder.SetResourceQuota(quota);
        builder.SetMaxReceiveMessageSize(maxMessageBytes);
        builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
        builder.AddChannelArgument(
            GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, keepaliveIntervalMs / 2);
        builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
        builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &m_port);
        builder.RegisterService(&m_service);
        m_server = builder.BuildAndStart();
    }

    GrpcShardServer(const GrpcShardServer&) = delete;
    GrpcShardServer& operator=(const GrpcShardServer&) = delete;

    ~GrpcShardServer() override
    {
        if (m_server)
            m_server->Shutdown(std::chrono::system_clock::now() + shutdownGrace);
    }

    [[nodiscard]] bool isListening() const { return m_server && m_port > 0; }

    [[nodiscard]] std::string address() const override { return fmt::format("{}:{}", m_host, m_port); }

private:
    Service m_service;
    const std::string m_host;
    int m_port { 0 };
    std::unique_ptr<grpc::Server> m_server;
};

JobReply replyOf(const grpc::Status& status, const wire::JobReply& message)
{
    if (status.ok())
        return fromWire(message);
    JobReply reply;
    auto wasNeverSent = status.error_code() == grpc::StatusCode::UNAVAILABLE
        && status.error_message().find(neverConnected) != std::string::npos;
    reply.verdict = wasNeverSent ? JobVerdict::NotHolder : JobVerdict::Uncertain;
    reply.reason = fmt::format("{}: {}", int(status.error_code()), status.error_message());
    return reply;
}

} // namespace

Result<std::unique_ptr<ShardRpcServer>> ShardRpcServer::start(
    const std::string& address, asio::io_context& loop, Handler handler)
{
    auto server = std::make_unique<GrpcShardServer>(address, loop, std::move(handler));
    if (!server->isListening())
        return notRun(Reason::Internal, fmt::format("cannot listen for other processes on {}", address));
    return server;
}

class ShardRpcClient::Channels {
public:
    explicit Channels(asio::io_context& loop)
        : m_loop(loop)
    {
    }

    void call(
        const std::string& address, const JobCall& call, std::chrono::milliseconds timeout, OnJobReply done)
    {
        struct Call {
            grpc::ClientContext context;
            wire::JobCall request;
            wire::JobReply reply;
            OnJobReply done;
        };
        auto owned = std::make_unique<Call>();
        owned->context.set_deadline(std::chrono::system_clock::now() + timeout);
        owned->request = toWire(call);
        owned->done = std::move(done);
        auto* raw = owned.release();
        stub(address).async()->Call(
            &raw->context, &raw->request, &raw->reply, [this, raw](const grpc::Status& status) {
                std::unique_ptr<Call> finished(raw);
                asio::post(
                    m_loop, [done = std::move(finished->done), reply = replyOf(status, finished->reply)] {
                        done(reply);
                    });
            });
    }

private:
    wire::Shard::Stub& stub(const std::string& address)
    {
        auto& known = m_stubs[address];
        if (!known) {
            grpc::ChannelArguments arguments;
            arguments.SetMaxReceiveMessageSize(maxMessageBytes);
            arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, reconnectBackoffMs);
            arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, reconnectBackoffMs);
            arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, reconnectBackoffMs);
            arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, keepaliveIntervalMs);
            arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, keepaliveTimeoutMs);
            arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
            arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
            known = wire::Shard::NewStub(
                grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments));
        }
        return *known;
    }

    asio::io_context& m_loop;
    std::map<std::string, std::unique_ptr<wire::Shard::Stub>> m_stubs;
};

ShardRpcClient::ShardRpcClient(asio::io_context& loop)
    : m_channels(std::make_unique<Channels>(loop))
{
}

ShardRpcClient::~ShardRpcClient() = default;

void ShardRpcClient::call(
    const std::string& address, const JobCall& call, std::chrono::milliseconds timeout, OnJobReply done)
{
    m_channels->call(address, call, timeout, std::move(done));
}

} // namespace fulmar::node
