#include <LibProxy/ProxyServer.h>

#include "CallerInterface.h"

#include <LibCore/Log.h>
#include <LibEndpoint/HttpEndpointLink.h>
#include <LibWire/Secret.h>

#include <utility>

namespace Proxy {

using Wire::HttpMethod;
using Wire::HttpReplyHandle;
using Wire::HttpRequest;
using Wire::HttpResponse;
using Wire::HttpStatus;

namespace {

constexpr Core::Duration kDrainCheckPeriod = std::chrono::milliseconds(20);
constexpr Core::Duration kRelayTimeout = std::chrono::seconds(10);

/** Creates HTTP links. They share one HTTP client for their control calls. */
class HttpLinkFactory final : public LinkFactory
{
public:
  HttpLinkFactory(Core::Loop& aLoop,
                  Wire::HttpClient& aClient,
                  std::string aSender)
    : loop_(aLoop)
    , client_(aClient)
    , sender_(std::move(aSender))
  {
  }
  std::unique_ptr<Endpoint::EndpointLink> Make(
    const Membership::Database& aDatabase) override
  {
    return std::make_unique<Endpoint::HttpEndpointLink>(
      loop_, client_, aDatabase.address, sender_);
  }

private:
  Core::Loop& loop_;
  Wire::HttpClient& client_;
  std::string sender_;
};

} // namespace

/** Implements CallerHost for the caller interface of this proxy. */
class ProxyServer::Host final : public CallerHost
{
public:
  explicit Host(ProxyServer& aProxy)
    : proxy_(aProxy)
  {
  }
  GroupHome* HomeOf(const std::string& aGroup) override
  {
    return proxy_.HomeOf(aGroup);
  }
  std::string NotReadyReason() const override
  {
    return proxy_.NotReadyReason();
  }

private:
  ProxyServer& proxy_;
};

ProxyServer::ProxyServer(Core::Loop& aLoop,
                         const Settings::ProcessSettings& aSettings)
  : loop_(aLoop)
  , settings_(aSettings)
  , random_(Core::Random::FromSystem())
  , client_(aLoop, aSettings.Text("node.name"))
  , links_(std::make_unique<HttpLinkFactory>(aLoop,
                                             client_,
                                             aSettings.Text("node.name")))
  , context_{ aLoop,
              random_,
              metrics_,
              *links_,
              aSettings.Text("node.name"),
              aSettings.Text("node.data_centre") }
  , view_(aLoop,
          client_,
          aSettings.Address("agent.address"),
          aSettings.Text("secrets.peers"))
  , transactions_(std::make_unique<TransactionTable>(context_))
  , router_(std::make_unique<PeerRouter>(aLoop,
                                         client_,
                                         aSettings.Text("node.name"),
                                         aSettings.Text("secrets.peers")))
  , host_(std::make_unique<Host>(*this))
  , callerInterface_(std::make_unique<CallerInterface>(context_,
                                                       *host_,
                                                       *router_,
                                                       *transactions_))
  , callers_(aLoop)
  , peers_(aLoop)
  , operators_(aLoop)
  , fleet_(std::make_shared<Settings::FleetSettings>())
{
  const Core::Duration latency(settings_.Integer("experiments.latency_us"));
  callers_.SetEmulatedLatency(latency);
  peers_.SetEmulatedLatency(latency);
  callerInterface_->AddRoutes(callers_);
  callerInterface_->AddPeerRoutes(peers_, settings_.Text("secrets.peers"));
  AddOperatorRoutes();
  view_.OnView(
    [this](const Membership::FleetView& aView) { ApplyView(aView); });
}

ProxyServer::~ProxyServer() = default;

bool
ProxyServer::Start(Core::LastReason& aReason)
{
  const bool listens =
    callers_.Listen(settings_.Address("proxy.callers"), aReason) &&
    peers_.Listen(settings_.Address("proxy.peers"), aReason) &&
    operators_.Listen(settings_.Address("proxy.operators"), aReason);
  if (listens)
    view_.Start();
  return listens;
}

GroupHome*
ProxyServer::HomeOf(const std::string& aGroup)
{
  const auto found = homes_.find(aGroup);
  if (found != homes_.end())
    return found->second.get();
  if (!view_.View() || view_.View()->DatabasesOf(aGroup).empty())
    return nullptr;
  // Each GroupHome polls its databases, so it is created only when the first
  // request for the group arrives.
  auto home = std::make_unique<GroupHome>(context_, aGroup);
  home->Update(view_.View()->DatabasesOf(aGroup), fleet_);
  return (homes_[aGroup] = std::move(home)).get();
}

void
ProxyServer::ApplyView(const Membership::FleetView& aView)
{
  if (aView.configuration.version > configurationVersion_) {
    Core::Findings findings;
    auto fleet = Settings::FleetSettings::Parse(
      aView.configuration.text, "configuration", findings);
    if (fleet) {
      fleet_ = std::make_shared<Settings::FleetSettings>(std::move(*fleet));
      configurationVersion_ = aView.configuration.version;
      metrics_.Set("configuration_version",
                   static_cast<std::int64_t>(configurationVersion_));
      Core::LogChange("configuration in force",
                      { { "version", configurationVersion_ } });
    }
  }
  router_->SetMembers(aView.members);
  for (const auto& [group, home] : homes_)
    home->Update(aView.DatabasesOf(group), fleet_);
}

std::string
ProxyServer::NotReadyReason() const
{
  if (!view_.View())
    return "this node has not received a view of the fleet yet";
  if (!view_.IsCurrent(fleet_->Milliseconds("configuration.stale_ms")))
    return "the configuration of this node is stale: neither the store nor a "
           "peer has confirmed it in time";
  return "";
}

void
ProxyServer::AddOperatorRoutes()
{
  operators_.Route(
    HttpMethod::Get,
    "/health",
    [this](const HttpRequest&, const HttpReplyHandle& aReply) {
      const std::string reason = isStopping_ ? "stopping" : NotReadyReason();
      if (reason.empty())
        aReply->Send(HttpResponse::Json(
          HttpStatus::Ok, boost::json::object{ { "fit", true } }));
      else
        aReply->Send(
          HttpResponse::Error(HttpStatus::ServiceUnavailable, reason));
    });
  operators_.Route(HttpMethod::Get,
                   "/metrics",
                   [this](const HttpRequest&, const HttpReplyHandle& aReply) {
                     metrics_.Set("transactions_open",
                                  static_cast<int>(transactions_->OpenCount()));
                     HttpResponse answer;
                     answer.status = static_cast<int>(HttpStatus::Ok);
                     answer.body = metrics_.ToText();
                     answer.contentType = "text/plain; version=0.0.4";
                     aReply->Send(std::move(answer));
                   });
  operators_.Route(
    HttpMethod::Get,
    "/v1/proxy/status",
    [this](const HttpRequest& aRequest, const HttpReplyHandle& aReply) {
      if (CheckOperator(aRequest, aReply))
        aReply->Send(HttpResponse::Json(HttpStatus::Ok, StatusJson()));
    });
  for (const HttpMethod method : { HttpMethod::Get, HttpMethod::Post }) {
    operators_.Route(
      method,
      "/v1/operators/{command}",
      [this](const HttpRequest& aRequest, const HttpReplyHandle& aReply) {
        if (CheckOperator(aRequest, aReply))
          RelayToAgent(aRequest, aReply);
      });
  }
}

bool
ProxyServer::CheckOperator(const HttpRequest& aRequest,
                           const HttpReplyHandle& aReply) const
{
  if (Wire::IsBearerOf(aRequest.authorization,
                       settings_.Text("secrets.operators")))
    return true;
  aReply->Send(HttpResponse::Error(
    HttpStatus::Unauthorized, "the operators' secret is missing or wrong"));
  return false;
}

void
ProxyServer::RelayToAgent(const HttpRequest& aRequest,
                          const HttpReplyHandle& aReply)
{
  Wire::HttpCall call;
  call.method = aRequest.method;
  call.target = aRequest.path;
  call.body = aRequest.body;
  call.secret = settings_.Text("secrets.operators");
  call.timeout = kRelayTimeout;
  client_.Call(
    settings_.Address("agent.address"),
    call,
    [aReply](Wire::HttpOutcome aOutcome) {
      if (aOutcome.delivery == Wire::Delivery::Answered)
        aReply->Send(std::move(aOutcome.answer));
      else
        aReply->Send(HttpResponse::Error(
          HttpStatus::BadGateway,
          "the agent of this node did not respond; retry at another node"));
    });
}

boost::json::object
ProxyServer::StatusJson()
{
  boost::json::array groups;
  boost::json::array homes;
  if (view_.View()) {
    for (const std::string& group : view_.View()->Groups())
      homes.push_back(boost::json::object{
        { "group", group }, { "home", router_->HomeOf(group) } });
  }
  for (const auto& [name, home] : homes_)
    groups.push_back(home->ToJson());
  return { { "node", context_.nodeName },
           { "configuration_version", configurationVersion_ },
           { "fit", NotReadyReason().empty() && !isStopping_ },
           { "homes", std::move(homes) },
           { "groups", std::move(groups) } };
}

void
ProxyServer::Stop()
{
  if (std::exchange(isStopping_, true))
    return;
  Core::LogChange("stopping");
  stopStarted_ = loop_.Now();
  drainTimer_ = loop_.Every(kDrainCheckPeriod, [this] { WaitForDrain(); });
}

void
ProxyServer::WaitForDrain()
{
  const Core::Duration elapsed = loop_.Now() - stopStarted_;
  // New requests are accepted for the drain period, so that the load balancer
  // sees the failing health check before connections are refused.
  if (elapsed < fleet_->Milliseconds("shutdown.drain_ms"))
    return;
  callers_.Drain();
  peers_.Drain();
  const bool isIdle = callers_.InProgress() == 0 && peers_.InProgress() == 0 &&
                      transactions_->OpenCount() == 0;
  if (!isIdle && elapsed < fleet_->Milliseconds("shutdown.longest_ms"))
    return;
  Core::LogChange("stopped", { { "drained", isIdle } });
  loop_.Stop();
}

} // namespace Proxy
