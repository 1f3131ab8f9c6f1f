#include "NodeServer.h"

#include <LibCore/Log.h>
#include <LibCore/Random.h>

namespace {

/** The balancer needs two questions, a second apart, to notice a stop. */
constexpr Core::Duration kBalancerDelay = std::chrono::milliseconds(2200);

/** How often a stop looks at what is left. */
constexpr Core::Duration kStopInterval = std::chrono::milliseconds(100);

/** Ending takes a moment; the process must be gone before it is killed. */
constexpr Core::Duration kExitMargin = std::chrono::milliseconds(700);

/** An answer to a database's or the platform's call is given up after these. */
constexpr Core::Duration kProbeTimeout = std::chrono::milliseconds(500);
constexpr Core::Duration kPromoteTimeout = std::chrono::milliseconds(700);

constexpr int kIncarnationDigits = 12;

/**
 * The rest is left to nodes that join and to connections for questions. More
 * would move the queue into the database, which knows no order but arrival.
 */
constexpr double kConnectionShare = 0.7;

/** Longer than two clocks drift apart during a lease of authority. */
constexpr Core::Duration kClockMargin = std::chrono::milliseconds(200);

Authority::SupervisorTiming
ToSupervisorTiming(const Authority::AuthorityLease& aAuthorityLease)
{
  using std::chrono::milliseconds;
  Authority::SupervisorTiming timing;
  timing.authorityLease = aAuthorityLease;
  timing.clockMargin = kClockMargin;
  timing.probeInterval = milliseconds(250);
  timing.probeTimeout = kProbeTimeout;
  timing.silenceLimit = milliseconds(900);
  timing.choiceTimeout = milliseconds(400);
  timing.promoteTimeout = kPromoteTimeout;
  timing.promotionRetryInterval = milliseconds(3000);
  return timing;
}

Wire::Address
CheckoutAddress(const Settings::ProcessSettings& aSettings)
{
  if (!aSettings.Text("listen.checkouts").empty())
    return aSettings.Address("listen.checkouts");
  Wire::Address address = aSettings.Address("listen.peers");
  // Port 0 stands for any free port, here as in the settings.
  if (address.port != 0)
    ++address.port;
  return address;
}

Pooler::NodeSettings
ToNodeSettings(const Settings::ProcessSettings& aSettings)
{
  using std::chrono::milliseconds;
  Pooler::NodeSettings result;
  result.self.name = aSettings.Text("node.name");
  result.self.dataCentre = aSettings.Text("node.data_centre");
  result.self.incarnation = Core::Random::FromSystem().Hex(kIncarnationDigits);
  result.self.processors = aSettings.Decimal("node.processors");
  result.authorityLease.fenced =
    milliseconds(aSettings.Integer("authority.lease_ms"));
  result.authorityLease.plainReads =
    milliseconds(aSettings.Integer("authority.read_lease_ms"));
  result.duty.lease.duration = milliseconds(aSettings.Integer("duty.lease_ms"));
  // The holder stops early enough for a call that is under way to be given up,
  // and renews often enough to lose one renewal.
  result.duty.lease.safety = result.duty.lease.duration / 8;
  result.duty.lease.renewal = result.duty.lease.duration / 3;
  result.duty.supervisor = ToSupervisorTiming(result.authorityLease);
  result.connectionShare = kConnectionShare;
  return result;
}

} // namespace

NodeServer::NodeServer(Core::Loop& aLoop,
                       const Settings::ProcessSettings& aSettings)
  : loop_(aLoop)
  , settings_(aSettings)
  , relayBook_(aLoop)
  , dialer_(aLoop, relayBook_)
  , store_(aLoop, aSettings.Address("platform.store"), metrics_)
  , promoter_(aLoop, aSettings.Address("platform.promotions"))
  , peerClient_(aLoop)
  , checkoutClient_(aLoop)
  , node_(
      aLoop,
      ToNodeSettings(aSettings),
      { dialer_, store_, promoter_, peerClient_, relayBook_, checkoutClient_ },
      metrics_,
      Core::LogChange)
  , feeds_(aLoop, store_, node_)
  , door_(aLoop, node_)
  , peerServer_(aLoop, node_)
  , relayServer_(aLoop,
                 [this](const std::string& aDatabase) {
                   return node_.AddressOf(aDatabase);
                 })
  , checkoutServer_(aLoop, node_)
  , readiness_(aLoop)
  , metricsServer_(aLoop)
{
  AddRoutes();
}

void
NodeServer::AddRoutes()
{
  readiness_.Route(
    Wire::HttpMethod::Get,
    "/readyz",
    [this](const Wire::HttpRequest&, const Wire::HttpReplyHandle& aReply) {
      Wire::HttpAnswer answer;
      answer.status = static_cast<int>(
        node_.IsReady() ? Wire::HttpStatus::Ok
                        : Wire::HttpStatus::ServiceUnavailable);
      aReply->Send(answer);
    });
  metricsServer_.Route(
    Wire::HttpMethod::Get,
    "/metrics",
    [this](const Wire::HttpRequest&, const Wire::HttpReplyHandle& aReply) {
      node_.UpdateGauges();
      metrics_.Set("sessions", static_cast<std::int64_t>(door_.Sessions()));
      Wire::HttpAnswer answer;
      answer.status = static_cast<int>(Wire::HttpStatus::Ok);
      answer.contentType = "text/plain";
      answer.body = metrics_.ToText();
      aReply->Send(answer);
    });
}

bool
NodeServer::Start(Core::LastReason& aReason)
{
  const auto peers =
    peerServer_.Listen(settings_.Address("listen.peers"), aReason);
  const auto relay =
    relayServer_.Listen(settings_.Address("listen.relay"), aReason);
  const auto checkouts =
    checkoutServer_.Listen(CheckoutAddress(settings_), aReason);
  const auto clients =
    door_.Listen(settings_.Address("listen.clients"), aReason);
  const auto readiness =
    readiness_.Listen(settings_.Address("listen.readiness"), aReason);
  const auto metrics =
    metricsServer_.Listen(settings_.Address("listen.metrics"), aReason);
  if (!peers || !relay || !checkouts || !clients || !readiness || !metrics)
    return false;
  clientAddress_ = *clients;
  readinessAddress_ = *readiness;
  node_.SetAddresses({ *peers, *relay, *checkouts });
  feeds_.Start();
  return true;
}

void
NodeServer::Stop()
{
  if (node_.IsStopping())
    return;
  Core::LogChange(
    "stopping",
    { { "sessions", static_cast<std::int64_t>(door_.Sessions()) } });
  node_.BeginStop();
  stopBegan_ = loop_.Now();
  stopTimer_ = loop_.Every(kStopInterval, [this] { ContinueStop(); });
}

void
NodeServer::ContinueStop()
{
  const Core::Duration grace =
    std::chrono::milliseconds(settings_.Integer("stop.grace_ms"));
  const Core::Duration passed = loop_.Now() - stopBegan_;
  if (passed < kBalancerDelay)
    return;
  door_.CloseIdleSessions();
  // Open transactions have the first half of the grace to end, and what is
  // begun then has the other half.
  if (passed > grace / 2 - kStopInterval) {
    node_.RefuseNewWork();
    door_.EndRestingTransactions();
  }
  const bool isUsed = door_.Sessions() > 0 || checkoutServer_.InUse() > 0;
  if (isUsed && passed < grace - kExitMargin)
    return;
  stopTimer_.reset();
  FinishStop();
}

void
NodeServer::FinishStop()
{
  Core::LogChange(
    "stopped", { { "sessions", static_cast<std::int64_t>(door_.Sessions()) } });
  // Ending takes a while yet, in which nobody would be served to the end.
  door_.StopListening();
  door_.GiveUpStatements();
  door_.CloseAllSessions();
  node_.Leave([this] { loop_.Stop(); });
  stopTimer_ = loop_.After(kExitMargin / 2, [this] { loop_.Stop(); });
}
