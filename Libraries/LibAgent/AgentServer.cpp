#include <LibAgent/AgentServer.h>

#include "OperatorInterface.h"
#include "PeerGossip.h"
#include <LibAgent/GroupWatcher.h>

#include <LibCore/Log.h>
#include <LibEndpoint/HttpEndpointLink.h>
#include <LibMembership/Rendezvous.h>
#include <LibWire/FieldReader.h>
#include <LibWire/Secret.h>

#include <algorithm>
#include <utility>

namespace Agent {

using Wire::HttpMethod;
using Wire::HttpReplyHandle;
using Wire::HttpRequest;
using Wire::HttpResponse;
using Wire::HttpStatus;

namespace {

/** How often the configuration is checked for having become stale. */
constexpr Core::Duration kTick = std::chrono::milliseconds(100);
/** Time for the notice of a leaving member to reach the others. */
constexpr Core::Duration kLeaveGossipTime = std::chrono::milliseconds(400);
constexpr Core::Duration kOpinionTimeout = std::chrono::milliseconds(300);
/** How many members are asked whether a suspected primary responds. */
constexpr std::size_t kMaxOpinions = 3;
constexpr Core::Duration kRecordRetryInterval = std::chrono::seconds(2);
constexpr int kMaxRecordAttempts = 1800;
constexpr int kRandomHexDigits = 12;

} // namespace

/** Implements the services for the group watchers on the agent. */
class AgentServer::Host final : public WatcherHost
{
public:
  explicit Host(AgentServer& aAgent)
    : agent_(aAgent)
  {
  }

  std::unique_ptr<Endpoint::EndpointLink> MakeLink(
    const Membership::Database& aDatabase) override
  {
    return std::make_unique<Endpoint::HttpEndpointLink>(
      agent_.loop_,
      agent_.client_,
      aDatabase.address,
      agent_.settings_.Text("node.name"));
  }

  void RequestOpinions(const std::string& aGroup,
                       const std::string& aDatabase,
                       OpinionsCallback aCallback) override
  {
    agent_.RequestOpinions(aGroup, aDatabase, std::move(aCallback));
  }

  std::string NewOwner() override
  {
    return agent_.settings_.Text("node.name") + '#' +
           agent_.random_.Hex(kRandomHexDigits);
  }

  void RecordPromotion(const std::string& aGroup,
                       const Failover::Promotion& aPromotion,
                       Failover::PromotionReason aTrouble) override
  {
    agent_.WriteAuditRecord(
      "promotion-" + aGroup + '-' + std::to_string(aPromotion.Options().term),
      { { "what", "promotion" },
        { "group", aGroup },
        { "term", aPromotion.Options().term },
        { "primary", aPromotion.Chosen() },
        { "author", aPromotion.Options().owner },
        { "reason", Failover::kPromotionReasonNames.NameOf(aTrouble) } },
      0);
  }

private:
  AgentServer& agent_;
};

AgentServer::AgentServer(Core::Loop& aLoop,
                         const Settings::ProcessSettings& aSettings)
  : loop_(aLoop)
  , settings_(aSettings)
  , random_(Core::Random::FromSystem())
  , client_(aLoop, aSettings.Text("node.name"))
  , platform_(client_, aSettings.Address("platform.address"))
  , store_(platform_, &Core::WallClockMilliseconds)
  , host_(std::make_unique<Host>(*this))
  , gossip_(std::make_unique<PeerGossip>(aLoop,
                                         aSettings,
                                         client_,
                                         store_,
                                         platform_,
                                         random_,
                                         metrics_))
  , operatorInterface_(
      std::make_unique<OperatorInterface>(store_,
                                          *gossip_,
                                          aSettings.Text("secrets.operators"),
                                          [this] { return StatusJson(); }))
  , server_(aLoop)
{
  gossip_->OnChange([this] { Refresh(); });
  AddRoutes();
}

AgentServer::~AgentServer() = default;

bool
AgentServer::Start(Core::LastReason& aReason)
{
  if (!server_.Listen(settings_.Address("agent.address"), aReason))
    return false;
  // The name is sent in the query of a URL, so its parts are separated by '.':
  // a '#' would end the query.
  view_.agent =
    settings_.Text("node.name") + '.' + random_.Hex(kRandomHexDigits);
  gossip_->Start();
  tick_ = loop_.Every(kTick, [this] { Tick(); });
  return true;
}

void
AgentServer::Stop()
{
  if (stopTimer_)
    return;
  Core::LogChange("stopping");
  gossip_->Leave();
  Refresh();
  // The node's proxy needs the view while it drains.
  const Core::Duration wait =
    kLeaveGossipTime + gossip_->Fleet().Milliseconds("shutdown.drain_ms");
  stopTimer_ = loop_.After(wait, [this] { loop_.Stop(); });
}

void
AgentServer::AddRoutes()
{
  const auto guard = [this](auto aMethod) {
    return [this, aMethod](const HttpRequest& aRequest,
                           const HttpReplyHandle& aReply) {
      if (!Wire::IsBearerOf(aRequest.authorization,
                            settings_.Text("secrets.peers"))) {
        aReply->Send(HttpResponse::Error(
          HttpStatus::Unauthorized, "the peers' secret is missing or wrong"));
        return;
      }
      (this->*aMethod)(aRequest, aReply);
    };
  };
  server_.Route(HttpMethod::Get, "/v1/view", guard(&AgentServer::GetView));
  server_.Route(HttpMethod::Post,
                "/v1/peer/opinion",
                guard(&AgentServer::HandleOpinionRequest));
  server_.Route(HttpMethod::Get,
                "/metrics",
                [this](const HttpRequest&, const HttpReplyHandle& aReply) {
                  HttpResponse answer;
                  answer.status = static_cast<int>(HttpStatus::Ok);
                  answer.body = metrics_.ToText();
                  answer.contentType = "text/plain; version=0.0.4";
                  aReply->Send(std::move(answer));
                });
  gossip_->AddRoutes(server_);
  operatorInterface_->AddRoutes(server_);
}

Membership::FleetView
AgentServer::MakeView() const
{
  Membership::FleetView view;
  view.revision = view_.revision;
  view.agent = view_.agent;
  view.isCurrent = gossip_->IsCurrent();
  view.configuration = gossip_->Held();
  view.members = gossip_->Members().AvailableMembers();
  view.databases = gossip_->List().databases;
  return view;
}

void
AgentServer::Refresh()
{
  Membership::FleetView next = MakeView();
  const bool isSame = next.isCurrent == view_.isCurrent &&
                      next.configuration == view_.configuration &&
                      next.members == view_.members &&
                      next.databases == view_.databases;
  UpdateWatchers();
  if (isSame)
    return;
  ++next.revision;
  view_ = std::move(next);
  Core::LogChange("view",
                  { { "members", view_.members.size() },
                    { "databases", view_.databases.size() },
                    { "current", view_.isCurrent },
                    { "configuration", view_.configuration.version } });
  std::list<ViewPoller> pollers;
  pollers.swap(pollers_);
  for (const ViewPoller& poller : pollers)
    poller.reply->Send(HttpResponse::Json(HttpStatus::Ok, view_.ToJson()));
}

void
AgentServer::GetView(const HttpRequest& aRequest, const HttpReplyHandle& aReply)
{
  const auto field = [&aRequest](const char* aName) {
    const auto found = aRequest.query.find(aName);
    return found == aRequest.query.end() ? std::string() : found->second;
  };
  // A view without the VM list or a configuration is of no use to the proxy,
  // so the poll waits for both.
  const bool isReady =
    !view_.databases.empty() && view_.configuration.version > 0;
  const bool isUpToDate = field("agent") == view_.agent &&
                          field("revision") == std::to_string(view_.revision);
  if (isReady && !isUpToDate) {
    aReply->Send(HttpResponse::Json(HttpStatus::Ok, view_.ToJson()));
    return;
  }
  pollers_.push_back({ aReply, {} });
  const auto poller = std::prev(pollers_.end());
  const Core::Duration wait =
    std::chrono::milliseconds(std::atoll(field("wait_ms").c_str()));
  poller->timer = loop_.After(wait, [this, poller, isReady] {
    const HttpReplyHandle reply = poller->reply;
    pollers_.erase(poller);
    if (isReady)
      reply->Send(HttpResponse::Json(HttpStatus::Ok, view_.ToJson()));
    else
      reply->Send(HttpResponse::Error(
        HttpStatus::ServiceUnavailable,
        "the agent has no VM list or no configuration yet"));
  });
}

void
AgentServer::Tick()
{
  // Every other change calls Refresh. The view becomes stale without an event,
  // when no confirmation arrives in time.
  if (gossip_->IsCurrent() != view_.isCurrent)
    Refresh();
}

void
AgentServer::UpdateWatchers()
{
  const auto working = gossip_->Members().AvailableMembers();
  const auto watchers =
    static_cast<std::size_t>(gossip_->Fleet().Integer("detection.watchers"));
  std::map<std::string, std::vector<Membership::Database>> groups;
  for (const Membership::Database& database : gossip_->List().databases)
    groups[database.group].push_back(database);
  std::erase_if(watchers_, [&groups](const auto& aEntry) {
    return !groups.contains(aEntry.first);
  });
  for (const auto& [group, databases] : groups) {
    const auto ranked = Membership::RankMembers(working, group);
    const auto own = std::find_if(
      ranked.begin(), ranked.end(), [this](const Membership::Member* aMember) {
        return aMember->name == settings_.Text("node.name");
      });
    const auto rank = static_cast<std::size_t>(own - ranked.begin());
    if (own == ranked.end() || rank >= watchers) {
      watchers_.erase(group);
      continue;
    }
    auto& watcher = watchers_[group];
    if (!watcher || !watcher->HasSameDatabases(databases))
      watcher = std::make_unique<GroupWatcher>(
        loop_, *host_, group, settings_.Text("node.data_centre"), databases);
    watcher->Update(databases, gossip_->Fleet(), static_cast<int>(rank));
  }
}

void
AgentServer::RequestOpinions(const std::string& aGroup,
                             const std::string& aDatabase,
                             OpinionsCallback aCallback)
{
  std::vector<Membership::Member> others =
    gossip_->Members().RandomAlivePeers(gossip_->List().members.size() + 1);
  const bool othersExist = gossip_->List().members.size() > 1;
  const std::string ownDataCentre = settings_.Text("node.data_centre");
  // Members in other data centres reach the database over other links, so
  // they are preferred.
  std::stable_partition(
    others.begin(), others.end(), [&](const Membership::Member& aMember) {
      return aMember.dataCentre != ownDataCentre;
    });
  if (others.size() > kMaxOpinions)
    others.resize(kMaxOpinions);
  if (others.empty()) {
    aCallback({}, othersExist);
    return;
  }
  struct OpinionPoll
  {
    std::size_t pending = 0;
    std::vector<Failover::Opinion> opinions;
    OpinionsCallback callback;
  };
  auto poll = std::make_shared<OpinionPoll>();
  poll->pending = others.size();
  poll->callback = std::move(aCallback);
  for (const Membership::Member& member : others) {
    Wire::HttpCall call;
    call.method = HttpMethod::Post;
    call.target = "/v1/peer/opinion";
    call.body = boost::json::serialize(
      boost::json::object{ { "group", aGroup }, { "database", aDatabase } });
    call.secret = settings_.Text("secrets.peers");
    call.timeout = kOpinionTimeout;
    client_.Call(member.agent,
                 call,
                 [poll, othersExist, dataCentre = member.dataCentre](
                   const Wire::HttpOutcome& aOutcome) {
                   Core::Findings findings;
                   const auto body =
                     aOutcome.IsOk()
                       ? Wire::ParseObject(aOutcome.answer.body, findings)
                       : std::nullopt;
                   if (body) {
                     Wire::FieldReader reader(*body, findings);
                     poll->opinions.push_back(
                       { dataCentre, reader.Boolean("silent", false) });
                   }
                   if (--poll->pending == 0)
                     poll->callback(poll->opinions, othersExist);
                 });
  }
}

void
AgentServer::HandleOpinionRequest(const HttpRequest& aRequest,
                                  const HttpReplyHandle& aReply)
{
  Core::Findings findings;
  const auto body = Wire::ParseObject(aRequest.body, findings);
  std::string name;
  if (body) {
    Wire::FieldReader reader(*body, findings);
    name = reader.String("database");
  }
  const auto& databases = gossip_->List().databases;
  const auto database =
    std::find_if(databases.begin(), databases.end(), [&name](const auto& aOne) {
      return aOne.name == name;
    });
  if (!findings.IsEmpty() || database == databases.end()) {
    aReply->Send(HttpResponse::Error(HttpStatus::BadRequest,
                                     "unknown database \"" + name + '"'));
    return;
  }
  // A new probe gives a more recent result than the last periodic one.
  Endpoint::StatusRequest statusRequest;
  statusRequest.timeout = kOpinionTimeout * 2 / 3;
  auto link =
    std::shared_ptr<Endpoint::EndpointLink>(host_->MakeLink(*database));
  link->RequestStatus(
    statusRequest,
    [aReply, link](const std::optional<Endpoint::DatabaseReport>& aReport) {
      aReply->Send(HttpResponse::Json(
        HttpStatus::Ok,
        boost::json::object{ { "silent", !aReport.has_value() } }));
    });
}

void
AgentServer::WriteAuditRecord(const std::string& aKeySuffix,
                              const boost::json::object& aRecord,
                              int aAttempts)
{
  if (aAttempts >= kMaxRecordAttempts) {
    metrics_.Count("audit_records_lost_total");
    return;
  }
  store_.Record(aKeySuffix,
                aRecord,
                [this, aKeySuffix, aRecord, aAttempts](bool aIsStored) {
                  if (aIsStored)
                    return;
                  loop_.DeferFor(kRecordRetryInterval,
                                 [this, aKeySuffix, aRecord, aAttempts] {
                                   WriteAuditRecord(
                                     aKeySuffix, aRecord, aAttempts + 1);
                                 });
                });
}

boost::json::object
AgentServer::StatusJson() const
{
  boost::json::array members;
  for (const Membership::MemberUpdate& update : gossip_->Members().All())
    members.push_back(boost::json::object{
      { "name", update.member.name },
      { "data_centre", update.member.dataCentre },
      { "state", Membership::kMemberStateNames.NameOf(update.state) },
      { "listed", Membership::kVmStateNames.NameOf(update.member.state) } });
  boost::json::array groups;
  for (const auto& [group, watcher] : watchers_)
    groups.push_back(watcher->ToJson());
  return { { "node", settings_.Text("node.name") },
           { "current", gossip_->IsCurrent() },
           { "configuration_version", gossip_->Held().version },
           { "members", std::move(members) },
           { "watched_groups", std::move(groups) } };
}

} // namespace Agent
