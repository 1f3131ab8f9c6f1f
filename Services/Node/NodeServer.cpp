#include "NodeServer.h"

#include <LibCore/Log.h>
#include <LibCore/Random.h>
#include <LibPooler/StopPlan.h>

#include <sys/resource.h>

#include <algorithm>

namespace {

/** How often a stopping node checks for remaining sessions and checkouts. */
constexpr Core::Duration kStopCheckInterval = std::chrono::milliseconds(100);

/** The longest time that leaving the members may take at an exit. */
constexpr Core::Duration kLeaveLimit = std::chrono::milliseconds(350);

/** Timeouts of a probe of a database and of the platform's promote call. */
constexpr Core::Duration kProbeTimeout = std::chrono::milliseconds(500);
constexpr Core::Duration kPromoteTimeout = std::chrono::milliseconds(700);

constexpr int kIncarnationDigits = 12;

constexpr std::size_t kBytesPerKibibyte = 1024;
constexpr std::size_t kBytesPerMebibyte = 1024 * kBytesPerKibibyte;
constexpr std::size_t kPercent = 100;

/**
 * The share of a database's connection limit that pools may use. The remainder
 * is reserved for joining nodes and for control connections. A larger share
 * would move the queue into the database, which serves in order of arrival
 * only.
 */
constexpr double kConnectionShare = 0.7;

/** Of a setting that is present but empty. */
constexpr Core::Duration kDefaultWithdrawal = std::chrono::milliseconds(5000);

/** Exceeds the drift between two clocks during an authority lease. */
constexpr Core::Duration kClockMargin = std::chrono::milliseconds(200);

/** Covers the delay of the platform's list and of statements under way. */
constexpr Core::Duration kLeavingMargin = std::chrono::milliseconds(500);

Authority::SupervisorTiming
ToSupervisorTiming(const Settings::ProcessSettings& aSettings,
                   const Authority::AuthorityLease& aAuthorityLease)
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
  timing.leavingTime =
    milliseconds(aSettings.Integer("databases.leaving_ms")) - kLeavingMargin;
  return timing;
}

Wire::Address
CheckoutAddress(const Settings::ProcessSettings& aSettings)
{
  if (!aSettings.Text("listen.checkouts").empty())
    return aSettings.Address("listen.checkouts");
  Wire::Address address = aSettings.Address("listen.peers");
  // Port 0 means any free port, as in the settings.
  if (address.port != 0)
    ++address.port;
  return address;
}

Pooler::KeySettings
ToKeySettings(const Settings::ProcessSettings& aSettings)
{
  Pooler::KeySettings result;
  result.strictWithdrawal =
    Settings::ToBoolean(aSettings.Text("keys.strict_withdrawal"));
  const bool isGiven = !aSettings.Text("keys.withdrawal_ms").empty();
  result.withdrawal =
    isGiven ? std::chrono::milliseconds(aSettings.Integer("keys.withdrawal_ms"))
            : kDefaultWithdrawal;
  return result;
}

Pooler::NodeSettings
ToNodeSettings(const Settings::ProcessSettings& aSettings)
{
  using std::chrono::milliseconds;
  Pooler::NodeSettings result;
  result.self.name = aSettings.Text("node.name");
  result.self.dataCentre = aSettings.Text("node.data_centre");
  result.self.region = aSettings.Text("node.region");
  result.self.incarnation = Core::Random::FromSystem().Hex(kIncarnationDigits);
  result.self.processors = aSettings.Decimal("node.processors");
  result.authorityLease.fenced =
    milliseconds(aSettings.Integer("authority.lease_ms"));
  result.authorityLease.plainReads =
    milliseconds(aSettings.Integer("authority.read_lease_ms"));
  result.duty.lease.duration = milliseconds(aSettings.Integer("duty.lease_ms"));
  // The safety margin lets a call in progress time out before the lease ends.
  // The renewal interval tolerates one lost renewal.
  result.duty.lease.safetyMargin = result.duty.lease.duration / 8;
  result.duty.lease.renewal = result.duty.lease.duration / 3;
  result.duty.supervisor = ToSupervisorTiming(aSettings, result.authorityLease);
  result.connectionShare = kConnectionShare;
  result.keys = ToKeySettings(aSettings);
  result.quotaTolerance = { milliseconds(aSettings.Integer("quota.window_ms")),
                            aSettings.Decimal("quota.overrun"),
                            aSettings.Decimal("quota.slack") };
  result.learnsCapacity = aSettings.Boolean("capacity.learned");
  return result;
}

/** The descriptors that the process may open. */
std::size_t
DescriptorLimit(const Settings::ProcessSettings& aSettings)
{
  const auto given =
    static_cast<std::size_t>(aSettings.Integer("limits.descriptors"));
  rlimit own{};
  if (given > 0 || getrlimit(RLIMIT_NOFILE, &own) != 0)
    return given;
  return own.rlim_cur;
}

Adapter::ClientLimits
ToClientLimits(const Settings::ProcessSettings& aSettings)
{
  const auto number = [&aSettings](std::string_view aName) {
    return static_cast<std::size_t>(aSettings.Integer(aName));
  };
  Adapter::ClientLimits limits;
  const std::size_t descriptors = DescriptorLimit(aSettings);
  const std::size_t reserved = number("limits.reserved_descriptors");
  // With few descriptors the reserve would leave none for clients.
  limits.connections = std::max({ descriptors - std::min(descriptors, reserved),
                                  descriptors / 2,
                                  std::size_t{ 1 } });
  limits.allBytes = number("limits.memory_mb") * kBytesPerMebibyte *
                    number("limits.clients_percent") / kPercent;
  limits.connectionBytes = std::min(
    number("limits.connection_kb") * kBytesPerKibibyte, limits.allBytes / 2);
  limits.sessionBytes = number("limits.session_kb") * kBytesPerKibibyte;
  limits.statements = number("limits.statements");
  limits.slowness =
    std::chrono::milliseconds(aSettings.Integer("limits.slow_ms"));
  return limits;
}

} // namespace

NodeServer::NodeServer(Core::Loop& aLoop,
                       const Settings::ProcessSettings& aSettings)
  : loop_(aLoop)
  , settings_(aSettings)
  , relayTable_(aLoop)
  , answers_(
      std::make_shared<Wire::ReadGate>(aLoop,
                                       ToClientLimits(aSettings).allBytes))
  , dialer_(aLoop,
            relayTable_,
            answers_,
            ToClientLimits(aSettings).connectionBytes)
  , store_(aLoop, aSettings.Address("platform.store"), metrics_)
  , promoter_(aLoop, aSettings.Address("platform.promotions"))
  , peerClient_(aLoop)
  , configurationClient_(aLoop)
  , checkoutClient_(aLoop)
  , publisher_(aLoop, metrics_)
  , node_(
      aLoop,
      ToNodeSettings(aSettings),
      { dialer_, store_, promoter_, peerClient_, relayTable_, checkoutClient_ },
      metrics_,
      Core::LogChange)
  , feeds_(aLoop, store_, configurationClient_, publisher_, node_, metrics_)
  , clientServer_(aLoop, node_, metrics_, ToClientLimits(aSettings))
  , peerServer_(aLoop, node_)
  , relayServer_(aLoop,
                 [this](const std::string& aDatabase) {
                   return node_.AddressOf(aDatabase);
                 })
  , checkoutServer_(aLoop, node_)
  , readinessServer_(aLoop)
  , metricsServer_(aLoop)
{
  answers_->CountAlso(clientServer_.Budget());
  peerServer_.Serve(publisher_);
  AddRoutes();
}

void
NodeServer::AddRoutes()
{
  readinessServer_.Route(
    Wire::HttpMethod::Get,
    "/readyz",
    [this](const Wire::HttpRequest&, const Wire::HttpReplyHandle& aReply) {
      Wire::HttpResponse response;
      response.status = static_cast<int>(
        node_.IsReady() ? Wire::HttpStatus::Ok
                        : Wire::HttpStatus::ServiceUnavailable);
      aReply->Send(response);
    });
  metricsServer_.Route(
    Wire::HttpMethod::Get,
    "/metrics",
    [this](const Wire::HttpRequest&, const Wire::HttpReplyHandle& aReply) {
      node_.UpdateGauges();
      metrics_.Set("sessions",
                   static_cast<std::int64_t>(clientServer_.Sessions()));
      metrics_.Set("clients_held_bytes",
                   static_cast<std::int64_t>(clientServer_.HeldBytes()));
      metrics_.Set("answers_held_bytes",
                   static_cast<std::int64_t>(answers_->Held()));
      Wire::HttpResponse response;
      response.status = static_cast<int>(Wire::HttpStatus::Ok);
      response.contentType = "text/plain";
      response.body = metrics_.ToText();
      aReply->Send(response);
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
    clientServer_.Listen(settings_.Address("listen.clients"), aReason);
  const auto readiness =
    readinessServer_.Listen(settings_.Address("listen.readiness"), aReason);
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
    { { "sessions", static_cast<std::int64_t>(clientServer_.Sessions()) } });
  node_.BeginStop();
  stopBeganAt_ = loop_.Now();
  stopTimer_ = loop_.Every(kStopCheckInterval, [this] { ContinueStop(); });
}

void
NodeServer::ContinueStop()
{
  const Core::Duration grace =
    std::chrono::milliseconds(settings_.Integer("stop.grace_ms"));
  const Pooler::StopPhase phase =
    Pooler::StopPhaseAt(loop_.Now() - stopBeganAt_, grace);
  if (phase == Pooler::StopPhase::AwaitingBalancer)
    return;
  clientServer_.CloseIdleSessions();
  if (phase >= Pooler::StopPhase::FinishingStatements) {
    node_.RefuseNewWork();
    clientServer_.EndIdleTransactions();
  }
  const bool isUsed = clientServer_.Sessions() > 0 ||
                      clientServer_.IsDelivering() ||
                      checkoutServer_.ActiveChannels() > 0;
  if (isUsed && phase != Pooler::StopPhase::Exiting)
    return;
  stopTimer_.reset();
  FinishStop();
}

void
NodeServer::FinishStop()
{
  Core::LogChange(
    "stopped",
    { { "sessions", static_cast<std::int64_t>(clientServer_.Sessions()) } });
  // Leave takes some time and then stops the loop. A statement accepted in that
  // time could not be completed, so the sessions are closed first.
  clientServer_.StopListening();
  clientServer_.AbortRunningStatements();
  clientServer_.CloseAllSessions();
  node_.Leave([this] { loop_.Stop(); });
  stopTimer_ = loop_.After(kLeaveLimit, [this] { loop_.Stop(); });
}
