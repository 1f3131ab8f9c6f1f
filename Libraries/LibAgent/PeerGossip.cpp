#include "PeerGossip.h"

#include <LibCore/File.h>
#include <LibCore/Log.h>
#include <LibMembership/Rendezvous.h>
#include <LibWire/FieldReader.h>
#include <LibWire/Secret.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace Agent {

using Wire::HttpMethod;
using Wire::HttpOutcome;
using Wire::HttpReplyHandle;
using Wire::HttpRequest;
using Wire::HttpResponse;
using Wire::HttpStatus;

namespace {

constexpr Core::Duration kPeerTimeout = std::chrono::milliseconds(300);
constexpr Core::Duration kFetchTimeout = std::chrono::milliseconds(1000);
/** How many members poll the platform at the configured interval. */
constexpr std::size_t kMaxPlatformPollers = 3;
/**
 * The others poll at an interval longer by this factor, in case all pollers
 * are cut off.
 */
constexpr int kSlowPollFactor = 10;
/** How many members are pinged at once after a change. */
constexpr std::size_t kPushFanOut = 4;
/** How many members try to reach a silent member before it is suspected. */
constexpr std::size_t kMaxPingHelpers = 2;
constexpr std::int64_t kMaxInt64 = std::numeric_limits<std::int64_t>::max();

Membership::Member
OwnMember(const Settings::ProcessSettings& aSettings)
{
  Membership::Member member;
  member.name = aSettings.Text("node.name");
  member.dataCentre = aSettings.Text("node.data_centre");
  member.callers = aSettings.Address("proxy.callers");
  member.peers = aSettings.Address("proxy.peers");
  member.operators = aSettings.Address("proxy.operators");
  member.agent = aSettings.Address("agent.address");
  return member;
}

/**
 * Returns the wall-clock time in ms. It is higher at each start of a VM's
 * agent, so that no incarnation has to be stored.
 */
std::uint64_t
InitialIncarnation()
{
  return static_cast<std::uint64_t>(Core::WallClockMilliseconds());
}

} // namespace

PeerGossip::PeerGossip(Core::Loop& aLoop,
                       const Settings::ProcessSettings& aSettings,
                       Wire::HttpClient& aClient,
                       Configuration::ConfigurationStore& aStore,
                       Platform::VmDirectory& aDirectory,
                       Core::Random& aRandom,
                       Metrics::Registry& aMetrics)
  : loop_(aLoop)
  , name_(aSettings.Text("node.name"))
  , secret_(aSettings.Text("secrets.peers"))
  , initialConfigurationFile_(aSettings.Text("platform.first_configuration"))
  , seeds_(aSettings.Addresses("agent.seeds"))
  , client_(aClient)
  , store_(aStore)
  , directory_(aDirectory)
  , random_(aRandom)
  , metrics_(aMetrics)
  , members_(OwnMember(aSettings), InitialIncarnation(), {}, aRandom)
{
}

void
PeerGossip::OnChange(std::function<void()> aListener)
{
  listener_ = std::move(aListener);
}

void
PeerGossip::AddRoutes(Wire::HttpServer& aServer)
{
  const auto guard = [this](auto aMethod) {
    return [this, aMethod](const HttpRequest& aRequest,
                           const HttpReplyHandle& aReply) {
      if (!Wire::IsBearerOf(aRequest.authorization, secret_)) {
        aReply->Send(HttpResponse::Error(
          HttpStatus::Unauthorized, "the peers' secret is missing or wrong"));
        return;
      }
      (this->*aMethod)(aRequest, aReply);
    };
  };
  aServer.Route(
    HttpMethod::Post, "/v1/peer/ping", guard(&PeerGossip::HandlePing));
  aServer.Route(
    HttpMethod::Post, "/v1/peer/reach", guard(&PeerGossip::HandleReach));
  aServer.Route(HttpMethod::Get,
                "/v1/peer/configuration",
                [this](const HttpRequest&, const HttpReplyHandle& aReply) {
                  aReply->Send(HttpResponse::Json(
                    HttpStatus::Ok,
                    boost::json::object{ { "version", Held().version },
                                         { "text", Held().text } }));
                });
  aServer.Route(HttpMethod::Get,
                "/v1/peer/vms",
                [this](const HttpRequest&, const HttpReplyHandle& aReply) {
                  boost::json::object body = list_.ToJson();
                  body["version"] = listVersion_;
                  aReply->Send(HttpResponse::Json(HttpStatus::Ok, body));
                });
}

void
PeerGossip::Start()
{
  PollStore();
  PollList();
  PingNext();
}

void
PeerGossip::Leave()
{
  members_.Leave();
  PingRandomMembers();
}

bool
PeerGossip::IsCurrent() const
{
  const bool isAlone = list_.members.size() <= 1;
  return tracker_.IsCurrent(
    loop_.Now(), fleet_.Milliseconds("configuration.stale_ms"), isAlone);
}

void
PeerGossip::NotifyListener()
{
  if (listener_)
    listener_();
}

void
PeerGossip::ReportMembers()
{
  if (std::exchange(reportedMembers_, members_.Revision()) !=
      members_.Revision())
    NotifyListener();
}

void
PeerGossip::Call(const Wire::Address& aAddress,
                 HttpMethod aMethod,
                 const std::string& aTarget,
                 const boost::json::object& aBody,
                 Wire::HttpCallback aCallback)
{
  Wire::HttpCall call;
  call.method = aMethod;
  call.target = aTarget;
  if (aMethod == HttpMethod::Post)
    call.body = boost::json::serialize(aBody);
  call.secret = secret_;
  call.timeout = aMethod == HttpMethod::Post ? kPeerTimeout : kFetchTimeout;
  call.stallTimeout = call.timeout;
  metrics_.Count("agent_messages_total");
  metrics_.Count("agent_bytes_total", call.body.size());
  client_.Call(aAddress, call, std::move(aCallback));
}

void
PeerGossip::PingNext()
{
  const Core::Duration period = fleet_.Milliseconds("membership.ping_ms");
  pingTimer_ = loop_.After(period, [this] { PingNext(); });
  members_.SetSettings(
    { fleet_.Milliseconds("membership.suspect_ms"),
      std::max<Core::Duration>(period * 4, std::chrono::milliseconds(1500)) });
  if (const auto member = members_.NextToPing(loop_.Now()))
    Ping(member->agent, member->name);
  else if (!seeds_.empty())
    Ping(seeds_[random_.Below(seeds_.size())], "");
  ReportMembers();
}

void
PeerGossip::Ping(const Wire::Address& aAddress, const std::string& aName)
{
  Call(aAddress,
       HttpMethod::Post,
       "/v1/peer/ping",
       MakeDigest(),
       [this, aAddress, aName, requestedAt = loop_.Now()](
         const HttpOutcome& aOutcome) {
         HandlePingResponse(aAddress, aName, requestedAt, aOutcome);
       });
}

void
PeerGossip::HandlePingResponse(const Wire::Address& aAddress,
                               const std::string& aName,
                               Core::Instant aRequestedAt,
                               const HttpOutcome& aOutcome)
{
  Core::Findings findings;
  const auto body = aOutcome.IsOk()
                      ? Wire::ParseObject(aOutcome.answer.body, findings)
                      : std::nullopt;
  if (body) {
    members_.OnReachable(aName, loop_.Now());
    ApplyDigest(*body, aAddress, aRequestedAt);
    ReportMembers();
    return;
  }
  for (const Membership::MemberUpdate& update : members_.All()) {
    if (update.member.name == aName)
      PingThroughHelpers(update.member);
  }
}

void
PeerGossip::PingThroughHelpers(const Membership::Member& aMember)
{
  std::vector<Membership::Member> helpers =
    members_.RandomAlivePeers(kMaxPingHelpers + 1);
  std::erase_if(helpers, [&aMember](const Membership::Member& aHelper) {
    return aHelper.name == aMember.name;
  });
  if (helpers.size() > kMaxPingHelpers)
    helpers.resize(kMaxPingHelpers);
  if (helpers.empty()) {
    members_.OnUnreachable(aMember.name, loop_.Now());
    return;
  }
  auto pending = std::make_shared<std::size_t>(helpers.size());
  auto isReached = std::make_shared<bool>(false);
  for (const Membership::Member& helper : helpers) {
    Call(helper.agent,
         HttpMethod::Post,
         "/v1/peer/reach",
         { { "address", aMember.agent.ToText() } },
         [this, pending, isReached, name = aMember.name](
           const HttpOutcome& aOutcome) {
           *isReached = *isReached || aOutcome.IsOk();
           if (--*pending == 0 && !*isReached)
             members_.OnUnreachable(name, loop_.Now());
         });
  }
}

void
PeerGossip::HandleReach(const HttpRequest& aRequest,
                        const HttpReplyHandle& aReply)
{
  Core::Findings findings;
  Core::LastReason reason;
  const auto body = Wire::ParseObject(aRequest.body, findings);
  std::optional<Wire::Address> address;
  if (body) {
    Wire::FieldReader reader(*body, findings);
    address = Wire::Address::Parse(reader.String("address"), reason);
  }
  if (!address) {
    aReply->Send(HttpResponse::Error(HttpStatus::BadRequest,
                                     findings.ToText() + reason.Text()));
    return;
  }
  Call(*address,
       HttpMethod::Post,
       "/v1/peer/ping",
       MakeDigest(),
       [aReply](const HttpOutcome& aOutcome) {
         if (aOutcome.IsOk())
           aReply->Send(
             HttpResponse::Json(HttpStatus::Ok, boost::json::object{}));
         else
           aReply->Send(HttpResponse::Error(HttpStatus::BadGateway, "silent"));
       });
}

void
PeerGossip::HandlePing(const HttpRequest& aRequest,
                       const HttpReplyHandle& aReply)
{
  Core::Findings findings;
  const auto body = Wire::ParseObject(aRequest.body, findings);
  if (!body) {
    aReply->Send(HttpResponse::Json(HttpStatus::BadRequest,
                                    Wire::FindingsToJson(findings)));
    return;
  }
  // The first update is the sender's own; it gives the address for fetching
  // newer versions from it.
  Wire::Address from;
  Core::LastReason reason;
  Wire::FieldReader reader(*body, findings);
  if (const auto* updates = reader.OptionalArray("news");
      updates && !updates->empty()) {
    if (const auto own =
          Membership::MemberUpdate::FromJson((*updates)[0], reason))
      from = own->member.agent;
  }
  ApplyDigest(*body, from, loop_.Now());
  aReply->Send(HttpResponse::Json(HttpStatus::Ok, MakeDigest()));
  ReportMembers();
}

boost::json::object
PeerGossip::MakeDigest()
{
  boost::json::array updates{ members_.OwnUpdate().ToJson() };
  for (const Membership::MemberUpdate& item : members_.UpdatesToSend())
    updates.push_back(item.ToJson());
  return { { "news", std::move(updates) },
           { "configuration_version", Held().version },
           { "list_version", listVersion_ } };
}

void
PeerGossip::ApplyDigest(const boost::json::object& aDigest,
                        const Wire::Address& aFrom,
                        Core::Instant aRequestedAt)
{
  Core::Findings findings;
  Wire::FieldReader reader(aDigest, findings);
  Core::LastReason reason;
  if (const auto* updates = reader.OptionalArray("news")) {
    for (const boost::json::value& item : *updates) {
      if (const auto update = Membership::MemberUpdate::FromJson(item, reason))
        members_.Take(*update, loop_.Now());
    }
  }
  const auto configuration = static_cast<std::uint64_t>(
    reader.Integer("configuration_version", 0, kMaxInt64));
  const auto list =
    static_cast<std::uint64_t>(reader.Integer("list_version", 0, kMaxInt64));
  if (configuration > Held().version)
    FetchConfiguration(aFrom);
  else if (configuration > 0)
    tracker_.OnConfirmed(configuration, aRequestedAt);
  if (list > listVersion_)
    FetchList(aFrom);
}

void
PeerGossip::FetchConfiguration(const Wire::Address& aFrom)
{
  if (std::exchange(isFetchingConfiguration_, true))
    return;
  Call(aFrom,
       HttpMethod::Get,
       "/v1/peer/configuration",
       {},
       [this](const HttpOutcome& aOutcome) {
         isFetchingConfiguration_ = false;
         Core::Findings findings;
         const auto body = aOutcome.IsOk()
                             ? Wire::ParseObject(aOutcome.answer.body, findings)
                             : std::nullopt;
         if (!body)
           return;
         Wire::FieldReader reader(*body, findings);
         Membership::Configuration configuration;
         configuration.version =
           static_cast<std::uint64_t>(reader.Integer("version", 0, kMaxInt64));
         configuration.text = reader.String("text");
         if (findings.IsEmpty())
           ApplyConfiguration(configuration);
       });
}

void
PeerGossip::ApplyConfiguration(const Membership::Configuration& aConfiguration)
{
  Core::Findings findings;
  auto fleet = Settings::FleetSettings::Parse(
    aConfiguration.text, "configuration", findings);
  if (!fleet || !tracker_.Take(aConfiguration))
    return;
  fleet_ = std::move(*fleet);
  tracker_.OnConfirmed(aConfiguration.version, loop_.Now());
  Core::LogChange("configuration", { { "version", aConfiguration.version } });
  PingRandomMembers();
  NotifyListener();
}

void
PeerGossip::FetchList(const Wire::Address& aFrom)
{
  if (std::exchange(isFetchingList_, true))
    return;
  Call(aFrom,
       HttpMethod::Get,
       "/v1/peer/vms",
       {},
       [this](const HttpOutcome& aOutcome) {
         isFetchingList_ = false;
         Core::Findings findings;
         Core::LastReason reason;
         const auto body = aOutcome.IsOk()
                             ? Wire::ParseObject(aOutcome.answer.body, findings)
                             : std::nullopt;
         const auto list =
           body ? Membership::VmList::FromJson(*body, reason) : std::nullopt;
         if (!list)
           return;
         Wire::FieldReader reader(*body, findings);
         ApplyList(
           static_cast<std::uint64_t>(reader.Integer("version", 0, kMaxInt64)),
           *list);
       });
}

void
PeerGossip::ApplyList(std::uint64_t aVersion, const Membership::VmList& aList)
{
  if (aVersion <= listVersion_)
    return;
  listVersion_ = aVersion;
  list_ = aList;
  members_.SetListedMembers(list_.members, loop_.Now());
  PingRandomMembers();
  NotifyListener();
}

void
PeerGossip::PingRandomMembers()
{
  for (const Membership::Member& member :
       members_.RandomAlivePeers(kPushFanOut))
    Ping(member.agent, member.name);
}

bool
PeerGossip::IsPoller() const
{
  const auto working = members_.AvailableMembers();
  const auto ranked = Membership::RankMembers(working, "pollers");
  const std::size_t pollerCount = std::min(kMaxPlatformPollers, ranked.size());
  return std::any_of(ranked.begin(),
                     ranked.begin() + static_cast<std::ptrdiff_t>(pollerCount),
                     [this](const Membership::Member* aMember) {
                       return aMember->name == name_;
                     });
}

void
PeerGossip::PollStore()
{
  const Core::Instant requestedAt = loop_.Now();
  store_.Load([this, requestedAt](
                const std::optional<Membership::Configuration>& aStored) {
    Core::Duration pollInterval = fleet_.Milliseconds("configuration.poll_ms");
    if (aStored && aStored->version == 0) {
      store_.CreateInitialVersion(
        Core::ReadFile(initialConfigurationFile_).value_or(""),
        [this] { PollStore(); });
      return;
    }
    if (aStored) {
      ApplyConfiguration(*aStored);
      tracker_.OnConfirmed(aStored->version, requestedAt);
    }
    if (aStored && !IsPoller())
      pollInterval *= kSlowPollFactor;
    storeTimer_ = loop_.After(pollInterval, [this] { PollStore(); });
  });
}

void
PeerGossip::PollList()
{
  directory_.List(
    listVersion_,
    [this](const std::optional<Platform::VersionedVmList>& aList) {
      Core::Duration pollInterval = fleet_.Milliseconds("platform.list_ms");
      if (aList)
        ApplyList(aList->version, aList->list);
      if (aList && listVersion_ > 0 && !IsPoller())
        pollInterval *= kSlowPollFactor;
      listTimer_ = loop_.After(pollInterval, [this] { PollList(); });
    });
}

} // namespace Agent
