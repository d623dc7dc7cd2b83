#pragma once

#include <godwit/weights/transferplanner.h>

#include <functional>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace godwit::test {

/// Pseudo-random bytes of chunk \a index of the weights \a name.
std::string chunkBytes(const std::string &name, ChunkIndex index, std::uint32_t size);

/// Manifest with one chunk of 1 KiB per name in \a contents; equal names have equal bytes.
Manifest makeManifest(const std::string &version, const std::vector<std::string> &contents);

/// Manifest whose chunks differ from those of any other version.
Manifest makeManifest(const std::string &version, ChunkIndex chunks);

/// How one reply is delivered to the host that requested it.
struct Reply
{
    Duration delay = std::chrono::milliseconds(5);
    ResultCode code = ResultCode::Ok;
    Duration retryAfter{};
    bool lost = false;
    std::function<void(std::string &)> change; ///< Modifies the bytes.
    int copies = 1;
};

/// Runs the planners of several hosts in virtual time, with simulated engines and an origin.
/// Replies are modified by `onReply`; messages between hosts are lost if `connected` returns false.
/// Every delivery and every ReportServable is checked against the published weights.
class Swarm
{
public:
    using Clock = TimePoint;

    explicit Swarm(std::uint64_t seed, TransferSettings settings = testSettings());

    static TransferSettings testSettings();

    void addHost(const std::string &name, const std::string &region = "r1");
    void publish(const Manifest &manifest, const std::vector<std::string> &contents);
    void publish(const Manifest &manifest);
    TransferOrder order(const Manifest &manifest) const;
    void start(const std::string &host, const Manifest &manifest);
    void startAll(const Manifest &manifest);
    void kill(const std::string &host, bool announced = true);
    void run(Duration span);
    void apply(const std::string &host, TransferActions actions);

    /// Runs until all live hosts can serve \a manifest. Returns false if this takes \a limit.
    bool runUntilServable(const Manifest &manifest, Duration limit = std::chrono::minutes(20));
    bool servable(const std::string &host, const Manifest &manifest) const;
    TransferPlanner &planner(const std::string &host) { return m_hosts.at(host).planner; }
    std::uint64_t originRequests() const { return m_originRequests; }
    std::uint64_t sum(std::uint64_t TransferCounters::*counter) const;

    /// Called with the source (empty: origin), the requesting host and the chunk digest.
    std::function<Reply(const std::string &, const std::string &, const Digest &)> onReply;
    std::function<bool(const std::string &, const std::string &)> connected;
    std::function<TimePoint(const std::string &, TimePoint)> hostClock;
    TimePoint now{std::chrono::hours(1)};
    std::vector<std::string> violations;
    std::map<std::string, std::vector<Error>> failures;

private:
    struct Host
    {
        TransferPlanner planner;
        Participant participant;
        bool alive = true;
        std::map<Digest, std::set<ChunkIndex>> engine;
        std::set<Digest> loaded;
        std::set<Digest> servable;
        std::optional<TimePoint> tickAt;
    };

    struct Event
    {
        TimePoint at;
        std::uint64_t number;
        std::function<void()> run;
        friend bool operator>(const Event &a, const Event &b)
        {
            return std::pair(a.at, a.number) > std::pair(b.at, b.number);
        }
    };

    void at(TimePoint time, std::function<void()> run);
    void atHost(TimePoint time, const std::string &host,
                std::function<TransferActions(Host &)> run);
    bool reachable(const std::string &a, const std::string &b) const;
    TimePoint localTime(const std::string &host) const
    {
        return hostClock ? hostClock(host, now) : now;
    }
    void scheduleTick(const std::string &host);
    void reply(const std::string &from, const std::string &to, ChunkRequestId request,
               const Digest &digest, ChunkBytes bytes);
    void execute(const std::string &host, const RequestChunk &action);
    void execute(const std::string &host, const CancelRequest &action);
    void execute(const std::string &host, const AnnounceHave &action);
    void execute(const std::string &host, const ServeChunk &action);
    void execute(const std::string &host, const RefuseChunk &action);
    void execute(const std::string &host, const DeliverToEngine &action);
    void execute(const std::string &host, const FinishLoad &action);
    void execute(const std::string &host, const ReportServable &action);
    void execute(const std::string &host, const ReportFailed &action);
    void check(bool condition, const std::string &what);

    TransferSettings m_settings;
    std::uint64_t m_seed;
    std::map<std::string, Host> m_hosts;
    std::map<Digest, ChunkBytes> m_origin;
    std::map<Digest, Manifest> m_manifests;
    std::map<UploadId, std::pair<std::string, ChunkRequestId>> m_uploads;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::uint64_t m_nextNumber = 0;
    std::uint64_t m_nextUpload = 1;
    std::uint64_t m_originRequests = 0;
};

} // namespace godwit::test
