#include "peer/peer_client.h"

#include "peer/generated/peer.grpc.pb.h"
#include "peer/wire.h"

#include <condition_variable>
#include <fmt/format.h>
#include <grpcpp/create_channel.h>
#include <map>
#include <mutex>

namespace fulmar {

namespace {

constexpr int maxMessageBytes = 64 * 1024 * 1024;
constexpr int maxReconnectBackoffMs = 1'000;
constexpr int minReconnectBackoffMs = 100;

using Stub = peer::wire::Peer::Stub;

// Part of gRPC's error message for a call that was never assigned to a connection.
constexpr std::string_view connectFailureText = "failed to connect to all addresses";

// Only a call that never had a connection is known not to have run; after any other failure it may have run.
Failure toFailure(const grpc::Status& status, const std::string& address)
{
    bool wasNeverSent = status.error_code() == grpc::StatusCode::UNAVAILABLE
        && status.error_message().find(connectFailureText) != std::string::npos;
    auto outcome = wasNeverSent ? Outcome::NotRun : Outcome::MayHaveRun;
    auto reason = status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED ? Reason::DeadlineExceeded
                                                                             : Reason::TargetFailed;
    return { outcome, reason, fmt::format("peer {}: {}", address, status.error_message()) };
}

} // namespace

class PeerClient::Channels {
public:
    Stub& stub(const std::string& address)
    {
        std::lock_guard lock(m_mutex);
        auto& known = m_stubs[address];
        if (!known) {
            grpc::ChannelArguments arguments;
            arguments.SetMaxReceiveMessageSize(maxMessageBytes);
            arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, maxReconnectBackoffMs);
            arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, minReconnectBackoffMs);
            arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, minReconnectBackoffMs);
            arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
            arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
            known = peer::wire::Peer::NewStub(
                grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments));
        }
        return *known;
    }

    // Starts a call whose state lives until its callback has run. Counts calls in flight, so that the
    // destructor can wait for them.
    template <typename WireReply, typename WireRequest, typename Request, typename Reply, typename Start>
    void call(const std::string& address, const Request& request, std::chrono::milliseconds timeout,
        std::function<void(Result<Reply>)> done, Start start)
    {
        struct Call {
            grpc::ClientContext context;
            WireRequest request;
            WireReply reply;
            std::function<void(Result<Reply>)> done;
        };
        auto owned = std::make_unique<Call>();
        owned->context.set_deadline(std::chrono::system_clock::now() + timeout);
        owned->done = std::move(done);
        peer::toWire(request, owned->request);
        {
            std::lock_guard lock(m_mutex);
            ++m_inFlight;
        }
        auto* raw = owned.release();
        start(stub(address), raw->context, raw->request, raw->reply,
            [this, raw, address](const grpc::Status& status) {
                std::unique_ptr<Call> finished(raw);
                if (status.ok())
                    finished->done(peer::fromWire(finished->reply));
                else
                    finished->done(tl::unexpected(toFailure(status, address)));
                std::lock_guard lock(m_mutex);
                if (--m_inFlight == 0)
                    m_idle.notify_all();
            });
    }

    template <typename WireReply, typename WireRequest, typename Request, typename Method>
    auto callAndWait(const std::string& address, const Request& request, std::chrono::milliseconds timeout,
        Method method) -> Result<decltype(peer::fromWire(WireReply()))>
    {
        grpc::ClientContext context;
        context.set_deadline(std::chrono::system_clock::now() + timeout);
        WireRequest wireRequest;
        WireReply wireReply;
        peer::toWire(request, wireRequest);
        auto status = (stub(address).*method)(&context, wireRequest, &wireReply);
        if (!status.ok())
            return tl::unexpected(toFailure(status, address));
        return peer::fromWire(wireReply);
    }

    void waitUntilIdle()
    {
        std::unique_lock lock(m_mutex);
        m_idle.wait(lock, [this] { return m_inFlight == 0; });
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_idle;
    std::map<std::string, std::unique_ptr<Stub>> m_stubs;
    std::size_t m_inFlight { 0 };
};

PeerClient::PeerClient()
    : m_channels(std::make_unique<Channels>())
{
}

PeerClient::~PeerClient() { m_channels->waitUntilIdle(); }

void PeerClient::exchange(const std::string& address, const Exchange& message,
    std::chrono::milliseconds timeout, std::function<void(Result<Exchange>)> done)
{
    m_channels->call<peer::wire::Exchange, peer::wire::Exchange>(address, message, timeout, std::move(done),
        [](Stub& stub, auto& context, auto& request, auto& reply, auto callback) {
            stub.async()->Swap(&context, &request, &reply, std::move(callback));
        });
}

void PeerClient::askKey(const std::string& address, const KeyQuestion& question,
    std::chrono::milliseconds timeout, std::function<void(Result<KeyAnswer>)> done)
{
    m_channels->call<peer::wire::KeyAnswer, peer::wire::KeyQuestion>(address, question, timeout,
        std::move(done), [](Stub& stub, auto& context, auto& request, auto& reply, auto callback) {
            stub.async()->AskKey(&context, &request, &reply, std::move(callback));
        });
}

void PeerClient::callTask(const std::string& address, const TaskCall& call, std::chrono::milliseconds timeout,
    std::function<void(Result<TaskAnswer>)> done)
{
    m_channels->call<peer::wire::TaskAnswer, peer::wire::TaskCall>(address, call, timeout, std::move(done),
        [](Stub& stub, auto& context, auto& request, auto& reply, auto callback) {
            stub.async()->CallTask(&context, &request, &reply, std::move(callback));
        });
}

Result<Confirmation> PeerClient::confirmLeaving(
    const std::string& address, const ConfirmQuestion& question, std::chrono::milliseconds timeout)
{
    return m_channels->callAndWait<peer::wire::Confirmation, peer::wire::ConfirmQuestion>(
        address, question, timeout, &Stub::ConfirmLeaving);
}

Result<TimelineAnswer> PeerClient::timeline(
    const std::string& address, const TimelineQuestion& question, std::chrono::milliseconds timeout)
{
    return m_channels->callAndWait<peer::wire::TimelineAnswer, peer::wire::TimelineQuestion>(
        address, question, timeout, &Stub::Timeline);
}

} // namespace fulmar
