#include "adapters/peers/peer_thread.h"

#include "adapters/peers/codec.h"
#include "core/mailbox.h"

#include <capnp/rpc-twoparty.h>
#include <fcntl.h>
#include <future>
#include <kj/async-io.h>
#include <kj/timer.h>
#include <map>
#include <stdexcept>
#include <unistd.h>

namespace goldcrestline::adapters::peers {

namespace {

struct Reply
{
    std::uint64_t id;
    ports::PeerAnswer answer;
};
struct Stop
{ };
using Message = std::variant<OutgoingCall, Reply, Stop>;

} // namespace

// Messages to the loop; a byte in the pipe wakes it.
struct PeerThread::Inbox
{
    Inbox()
    {
        if (pipe2(pipe, O_CLOEXEC | O_NONBLOCK) != 0)
            throw std::runtime_error("pipe2 failed");
        mailbox.setWake([this] {
            const char byte = 0;
            // A full pipe wakes the loop just as well.
            [[maybe_unused]] const auto n = write(pipe[1], &byte, 1);
        });
    }
    ~Inbox()
    {
        close(pipe[0]);
        close(pipe[1]);
    }
    Inbox(const Inbox &) = delete;
    Inbox &operator=(const Inbox &) = delete;

    int pipe[2] = {-1, -1};
    core::Mailbox<Message> mailbox;
};

// Everything that lives on the event loop's thread.
class PeerThread::Loop : private kj::TaskSet::ErrorHandler
{
public:
    Loop(kj::AsyncIoContext &io, std::shared_ptr<Inbox> inbox,
         std::function<void(PeerEvent)> deliver)
        : m_io(io), m_inbox(std::move(inbox)), m_deliver(std::move(deliver)),
          m_tasks(kj::heap<kj::TaskSet>(static_cast<kj::TaskSet::ErrorHandler &>(*this)))
    { }

    void run(const std::string &address, std::promise<std::string> &started)
    {
        auto bound = m_io.provider->getNetwork().parseAddress(address).wait(m_io.waitScope);
        auto listener = bound->listen();
        capnp::TwoPartyServer server(kj::heap<Service>(*this));
        auto wake = m_io.lowLevelProvider->wrapInputFd(dup(m_inbox->pipe[0]),
                                                       kj::LowLevelAsyncIoProvider::TAKE_OWNERSHIP);
        auto stop = kj::newPromiseAndFulfiller<void>();
        m_stop = kj::mv(stop.fulfiller);
        m_tasks->add(server.listen(*listener));
        m_tasks->add(readWakes(*wake));
        started.set_value("");
        stop.promise.wait(m_io.waitScope);
        m_tasks = nullptr;
        m_links.clear();
    }

private:
    // One connection to another host.
    struct Link : kj::Refcounted
    {
        explicit Link(kj::Own<kj::AsyncIoStream> connected)
            : stream(kj::mv(connected)), client(*stream),
              peer(client.bootstrap().castAs<wire::Peer>())
        { }
        kj::Own<kj::AsyncIoStream> stream;
        capnp::TwoPartyClient client;
        wire::Peer::Client peer;
    };

    // Serves calls from other hosts by passing them to the owner.
    class Service : public wire::Peer::Server
    {
    public:
        explicit Service(Loop &loop) : m_loop(loop) { }

        kj::Promise<void> exchange(ExchangeContext context) override
        {
            auto gossip = readGossip(context.getParams().getMessage());
            return m_loop.ask(std::move(gossip)).then([context](ports::PeerAnswer answer) mutable {
                writeGossip(std::get<ports::Gossip>(answer), context.getResults().initReply());
            });
        }
        kj::Promise<void> probe(ProbeContext context) override
        {
            const auto params = context.getParams();
            ports::ProbeRequest request{asString(params.getName()), asString(params.getAddress())};
            return m_loop.ask(std::move(request)).then([context](ports::PeerAnswer answer) mutable {
                context.getResults().setReached(std::get<ports::ProbeAnswer>(answer).reached);
            });
        }
        kj::Promise<void> fetch(FetchContext context) override
        {
            const auto kind = context.getParams().getKind() == 0 ? ports::DocumentKind::Lists
                                                                 : ports::DocumentKind::Fleet;
            return m_loop.ask(ports::FetchRequest{kind})
                .then([context](ports::PeerAnswer answer) mutable {
                    const auto &document = std::get<ports::FetchAnswer>(answer);
                    context.getResults().setRevision(document.revision);
                    context.getResults().setText(asData(document.text));
                });
        }
        kj::Promise<void> run(RunContext context) override
        {
            const auto params = context.getParams();
            ports::RunRequest request{asString(params.getCustomer()), asString(params.getService()),
                                      asString(params.getKey()), asString(params.getBody()),
                                      core::Millis(params.getTimeLeftMs())};
            return m_loop.ask(std::move(request)).then([context](ports::PeerAnswer answer) mutable {
                writeOutcome(std::get<ports::RunAnswer>(answer).outcome,
                             context.getResults().initOutcome());
            });
        }
        kj::Promise<void> borrow(BorrowContext context) override
        {
            const auto params = context.getParams();
            ports::BorrowRequest request{asString(params.getPlan()), params.getWanted()};
            return m_loop.ask(std::move(request)).then([context](ports::PeerAnswer answer) mutable {
                context.getResults().setTokens(std::get<ports::BorrowAnswer>(answer).tokens);
            });
        }
        kj::Promise<void> adopt(AdoptContext context) override
        {
            const auto params = context.getParams();
            ports::AdoptRequest request{asString(params.getHost()),
                                        params.getIncarnation(),
                                        asString(params.getSecret()),
                                        {},
                                        params.getLatest()};
            for (const auto it : params.getEntries())
                request.entries.push_back(readEntry(it));
            return m_loop.ask(std::move(request)).then([context](ports::PeerAnswer answer) mutable {
                context.getResults().setAdopted(std::get<ports::AdoptAnswer>(answer).adopted);
            });
        }

    private:
        Loop &m_loop;
    };

    void taskFailed(kj::Exception &&) override { }

    kj::Promise<ports::PeerAnswer> ask(ports::PeerRequest request)
    {
        auto paf = kj::newPromiseAndFulfiller<ports::PeerAnswer>();
        const auto id = ++m_lastQuestion;
        m_questions[id] = kj::mv(paf.fulfiller);
        m_deliver(
            ports::PeerCall{std::move(request), [inbox = m_inbox, id](ports::PeerAnswer answer) {
                                inbox->mailbox.post(Reply{id, std::move(answer)});
                            }});
        return kj::mv(paf.promise);
    }

    kj::Promise<void> readWakes(kj::AsyncInputStream &wake)
    {
        return wake.tryRead(m_wakeBytes, 1, sizeof(m_wakeBytes)).then([this, &wake](std::size_t) {
            for (auto &it : m_inbox->mailbox.drain())
                std::visit([this](auto &message) { handle(message); }, it);
            return readWakes(wake);
        });
    }

    void handle(Stop &) { m_stop->fulfill(); }

    void handle(Reply &reply)
    {
        const auto it = m_questions.find(reply.id);
        if (it == m_questions.end())
            return;
        auto fulfiller = kj::mv(it->second);
        m_questions.erase(it);
        fulfiller->fulfill(kj::mv(reply.answer));
    }

    void handle(OutgoingCall &call)
    {
        auto sent = std::make_shared<bool>(false);
        const auto id = call.id;
        auto address = call.address;
        const auto timeout = call.timeout.count() * kj::MILLISECONDS;
        auto work =
            link(address).then([this, sent, call = std::move(call)](kj::Own<Link> link) mutable {
                *sent = true;
                auto &peer = link->peer;
                return std::visit([&](auto &it) { return invoke(peer, it); }, call.request)
                    .attach(kj::mv(link));
            });
        auto done = m_io.provider->getTimer().timeoutAfter(timeout, kj::mv(work));
        m_tasks->add(done.then(
            [this, id](ports::PeerAnswer answer) {
                m_deliver(PeerDone{id, {ports::PeerEnd::Answered, std::move(answer)}});
            },
            [this, id, sent, address](kj::Exception &&) {
                // The connection may have gone silent: the next call opens a new one.
                m_links.erase(address);
                const auto end = *sent ? ports::PeerEnd::Lost : ports::PeerEnd::NotReached;
                m_deliver(PeerDone{id, {end, {}}});
            }));
    }

    kj::Promise<kj::Own<Link>> link(const std::string &address)
    {
        const auto it = m_links.find(address);
        if (it != m_links.end())
            return kj::addRef(*it->second);
        return m_io.provider->getNetwork()
            .parseAddress(address)
            .then([](kj::Own<kj::NetworkAddress> resolved) {
                auto connecting = resolved->connect();
                return connecting.attach(kj::mv(resolved));
            })
            .then([this, address](kj::Own<kj::AsyncIoStream> stream) {
                auto link = kj::refcounted<Link>(kj::mv(stream));
                m_links[address] = kj::addRef(*link);
                return link;
            });
    }

    kj::Promise<ports::PeerAnswer> invoke(wire::Peer::Client &peer, const ports::Gossip &gossip)
    {
        auto request = peer.exchangeRequest();
        writeGossip(gossip, request.initMessage());
        return request.send().then(
            [](auto response) -> ports::PeerAnswer { return readGossip(response.getReply()); });
    }
    kj::Promise<ports::PeerAnswer> invoke(wire::Peer::Client &peer, const ports::ProbeRequest &it)
    {
        auto request = peer.probeRequest();
        request.setName(it.name);
        request.setAddress(it.address);
        return request.send().then([](auto response) -> ports::PeerAnswer {
            return ports::ProbeAnswer{response.getReached()};
        });
    }
    kj::Promise<ports::PeerAnswer> invoke(wire::Peer::Client &peer, const ports::FetchRequest &it)
    {
        auto request = peer.fetchRequest();
        request.setKind(static_cast<std::uint8_t>(it.kind));
        return request.send().then([kind = it.kind](auto response) -> ports::PeerAnswer {
            return ports::FetchAnswer{kind, response.getRevision(), asString(response.getText())};
        });
    }
    kj::Promise<ports::PeerAnswer> invoke(wire::Peer::Client &peer, const ports::RunRequest &it)
    {
        auto request = peer.runRequest();
        request.setCustomer(it.customer);
        request.setService(it.service);
        request.setKey(it.key);
        request.setBody(asData(it.body));
        request.setTimeLeftMs(it.timeLeft.count());
        return request.send().then([](auto response) -> ports::PeerAnswer {
            return ports::RunAnswer{readOutcome(response.getOutcome())};
        });
    }
    kj::Promise<ports::PeerAnswer> invoke(wire::Peer::Client &peer, const ports::BorrowRequest &it)
    {
        auto request = peer.borrowRequest();
        request.setPlan(it.plan);
        request.setWanted(it.wanted);
        return request.send().then([](auto response) -> ports::PeerAnswer {
            return ports::BorrowAnswer{response.getTokens()};
        });
    }
    kj::Promise<ports::PeerAnswer> invoke(wire::Peer::Client &peer, const ports::AdoptRequest &it)
    {
        auto request = peer.adoptRequest();
        request.setHost(it.host);
        request.setIncarnation(it.incarnation);
        request.setSecret(it.secret);
        request.setLatest(it.latest);
        auto entries = request.initEntries(static_cast<unsigned>(it.entries.size()));
        for (unsigned i = 0; i < entries.size(); ++i)
            writeEntry(it.entries[i], entries[i]);
        return request.send().then([](auto response) -> ports::PeerAnswer {
            return ports::AdoptAnswer{response.getAdopted()};
        });
    }

    kj::AsyncIoContext &m_io;
    std::shared_ptr<Inbox> m_inbox;
    std::function<void(PeerEvent)> m_deliver;
    std::map<std::string, kj::Own<Link>> m_links;
    std::map<std::uint64_t, kj::Own<kj::PromiseFulfiller<ports::PeerAnswer>>> m_questions;
    std::uint64_t m_lastQuestion = 0;
    kj::Own<kj::PromiseFulfiller<void>> m_stop;
    char m_wakeBytes[64] = {};
    kj::Own<kj::TaskSet> m_tasks;
};

PeerThread::PeerThread(std::string address, std::function<void(PeerEvent)> deliver)
    : m_inbox(std::make_shared<Inbox>())
{
    std::promise<std::string> started;
    auto failure = started.get_future();
    m_thread =
        std::thread([this, address = std::move(address), deliver = std::move(deliver), &started] {
            pthread_setname_np(pthread_self(), "peers");
            bool running = false;
            try {
                auto io = kj::setupAsyncIo();
                Loop loop(io, m_inbox, deliver);
                running = true;
                loop.run(address, started);
            } catch (const kj::Exception &e) {
                if (running)
                    started.set_value(e.getDescription().cStr());
            }
        });
    const auto text = failure.get();
    if (text.empty())
        return;
    m_thread.join();
    throw std::runtime_error("cannot listen on the peers address: " + text);
}

PeerThread::~PeerThread()
{
    m_inbox->mailbox.post(Stop{});
    m_thread.join();
}

void PeerThread::send(OutgoingCall call)
{
    m_inbox->mailbox.post(std::move(call));
}

} // namespace goldcrestline::adapters::peers
