#include "peer/peer_server.h"

#include "peer/generated/peer.grpc.pb.h"
#include "peer/wire.h"

#include <fmt/format.h>
#include <grpcpp/resource_quota.h>
#include <grpcpp/server.h>
#include <grpcpp/server_builder.h>

namespace fulmar {

namespace {

constexpr int maxServerThreads = 24;
constexpr int maxMessageBytes = 64 * 1024 * 1024;
constexpr std::chrono::milliseconds shutdownGrace { 200 };

// Converts a request from protobuf, calls its handler and converts the reply to protobuf.
template <typename Handler, typename Request, typename Reply>
grpc::Status serve(const Handler& handler, const Request& request, Reply& reply)
{
    if (!handler)
        return { grpc::StatusCode::UNIMPLEMENTED, "not served by this process" };
    peer::toWire(handler(peer::fromWire(request)), reply);
    return grpc::Status::OK;
}

class Service final : public peer::wire::Peer::Service {
public:
    explicit Service(PeerHandlers handlers)
        : m_handlers(std::move(handlers))
    {
    }

    grpc::Status Swap(
        grpc::ServerContext*, const peer::wire::Exchange* in, peer::wire::Exchange* out) override
    {
        return serve(m_handlers.exchange, *in, *out);
    }
    grpc::Status ConfirmLeaving(
        grpc::ServerContext*, const peer::wire::ConfirmQuestion* in, peer::wire::Confirmation* out) override
    {
        return serve(m_handlers.confirmLeaving, *in, *out);
    }
    grpc::Status AskKey(
        grpc::ServerContext*, const peer::wire::KeyQuestion* in, peer::wire::KeyAnswer* out) override
    {
        return serve(m_handlers.askKey, *in, *out);
    }
    grpc::Status CallTask(
        grpc::ServerContext*, const peer::wire::TaskCall* in, peer::wire::TaskAnswer* out) override
    {
        return serve(m_handlers.callTask, *in, *out);
    }
    grpc::Status Timeline(grpc::ServerContext*, const peer::wire::TimelineQuestion* in,
        peer::wire::TimelineAnswer* out) override
    {
        return serve(m_handlers.timeline, *in, *out);
    }

private:
    const PeerHandlers m_handlers;
};

class GrpcPeerServer final : public PeerServer {
public:
    GrpcPeerServer(const std::string& address, PeerHandlers handlers)
        : m_service(std::move(handlers))
        , m_host(address.substr(0, address.rfind(':')))
    {
        grpc::ResourceQuota quota;
        quota.SetMaxThreads(maxServerThreads);
        grpc::ServerBuilder builder;
        builder.SetResourceQuota(quota);
        builder.SetMaxReceiveMessageSize(maxMessageBytes);
        builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
        builder.SetSyncServerOption(grpc::ServerBuilder::SyncServerOption::NUM_CQS, 1);
        builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &m_port);
        builder.RegisterService(&m_service);
        m_server = builder.BuildAndStart();
    }

    GrpcPeerServer(const GrpcPeerServer&) = delete;
    GrpcPeerServer& operator=(const GrpcPeerServer&) = delete;

    ~GrpcPeerServer() override
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

} // namespace

Result<std::unique_ptr<PeerServer>> PeerServer::start(const std::string& address, PeerHandlers handlers)
{
    auto server = std::make_unique<GrpcPeerServer>(address, std::move(handlers));
    if (!server->isListening())
        return notRun(Reason::Internal, fmt::format("cannot listen for peers on {}", address));
    return server;
}

} // namespace fulmar
