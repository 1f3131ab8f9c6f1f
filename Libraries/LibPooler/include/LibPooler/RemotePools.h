#pragma once

#include <LibCore/Scheduler.h>
#include <LibMetrics/Metrics.h>
#include <LibPooler/Checkout.h>
#include <LibPooler/Log.h>
#include <LibPooler/OwnerChoice.h>
#include <LibPooler/Peers.h>

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Pooler {

class RemoteChannel;

/** Why an owner of connections is avoided for a while. */
enum class OwnerFailure
{
  /** It sent neither a response nor a report that the request is queued. */
  Silent,
  /** The channel to it failed or couldn't be opened. */
  Closed,
  /** It reported that it owns no connections to the database. */
  NotOwner,
};

inline constexpr Core::EnumNames<OwnerFailure, 3> kOwnerFailureNames{ {
  { { OwnerFailure::Silent, "silent" },
    { OwnerFailure::Closed, "closed" },
    { OwnerFailure::NotOwner, "not_owner" } },
} };

/** How a checkout at another node ended. */
struct CheckoutOutcome
{
  /** Null if no owner granted a connection. */
  std::shared_ptr<CheckedOutLink> link;
  /** Valid only with a link. */
  CheckoutGrant grant;
  /** When the checkout was requested from the owner that granted it. */
  Core::Instant requestedAt{};
};

/**
 * Checks out connections from other nodes. Tries the owners of a group one
 * after the other, those in the same data centre first. After a failure of an
 * owner, prefers other owners for a while. Runs on one event loop, in one
 * thread.
 *
 * A connection serves one customer, so for a customer all nodes try the owners
 * in the same order, whatever their data centre: its connections gather at few
 * owners and are reused there.
 */
class RemotePools
{
public:
  using Handler = std::function<void(CheckoutOutcome)>;

  RemotePools(Core::Scheduler& aScheduler,
              CheckoutDialer& aDialer,
              std::string aDataCentre,
              Metrics::Registry& aMetrics,
              LogSink aLog);
  ~RemotePools();
  RemotePools(const RemotePools&) = delete;
  RemotePools& operator=(const RemotePools&) = delete;

  /** Sets this node's member key. It never checks out from itself. */
  void SetSelf(std::string aKey) { self_ = std::move(aKey); }
  /** Sets the owners of a group's connections; empty if there are none. */
  void SetOwners(const std::string& aGroup, std::vector<Member> aOwners);

  /**
   * Checks out a connection and returns the ticket for Cancel. aDone is called
   * once, from the event loop, unless the checkout is cancelled. aOnLost is
   * called if the connection is lost while it is checked out.
   */
  std::uint64_t Checkout(const std::string& aGroup,
                         CheckoutRequest aRequest,
                         Handler aDone,
                         std::function<void()> aOnLost);
  void Cancel(std::uint64_t aTicket);

  /**
   * Returns true if this node, an owner itself, is to check out connections for
   * a customer from another owner.
   */
  bool PrefersOther(const std::string& aGroup,
                    const std::string& aCustomer) const;

  /** The number of open channels, in use or idle. */
  std::size_t Channels() const { return channels_.size(); }

private:
  friend class RemoteChannel;
  using ChannelHandle = std::shared_ptr<RemoteChannel>;

  struct PendingCheckout
  {
    std::string group;
    CheckoutRequest request;
    Core::Instant since{};
    Core::Instant due{};
    Core::Instant requestedAt{};
    Handler done;
    std::function<void()> onLost;
    /** The keys of the owners that were tried. */
    std::set<std::string> tried;
    ChannelHandle channel;
    Core::TimerHandle silenceTimer;
  };

  struct OwnerState
  {
    /** The owner is avoided until then if there is another one. */
    Core::Instant suspectUntil = Core::Instant::min();
    Core::Instant lastSeenAt = Core::Instant::min();
    /** Channels to the owner with a checkout, requested or granted. */
    int inUse = 0;
  };

  bool IsOwner(const std::string& aKey) const;
  /** Closes the channels to members that no longer own connections. */
  void RemoveFormerOwners();
  /** Requests the checkout from the best owner not tried yet, or fails it. */
  void TryOwner(std::uint64_t aTicket);
  const Member* ChooseOwner(const PendingCheckout& aPending) const;
  std::vector<OwnerCandidate> Candidates(const std::string& aGroup) const;
  OwnerState StateOfOwner(const std::string& aKey) const;
  ChannelHandle TakeChannel(const Member& aOwner);
  void RestartSilenceTimer(std::uint64_t aTicket);
  void OnGrant(std::uint64_t aTicket, const CheckoutGrant& aGrant);
  /** Continues with another owner after a refusal or failure. */
  void TryNextOwner(std::uint64_t aTicket);
  void MarkSuspect(const std::string& aKey, OwnerFailure aFailure);
  void RecordSeen(const std::string& aKey);
  void ReleaseChannel(const ChannelHandle& aChannel);
  void CloseChannel(RemoteChannel& aChannel);

  Core::Scheduler& scheduler_;
  CheckoutDialer& dialer_;
  std::string dataCentre_;
  std::string self_;
  Metrics::Registry& metrics_;
  LogSink log_;
  std::map<std::string, std::vector<Member>> owners_;
  /** By the owner's key. */
  std::map<std::string, OwnerState> ownerStates_;
  /** By ticket. */
  std::map<std::uint64_t, PendingCheckout> pending_;
  std::set<ChannelHandle> channels_;
  /** Channels without a checkout, for reuse, by the owner's key. */
  std::map<std::string, std::list<ChannelHandle>> idleChannels_;
  std::uint64_t lastTicket_ = 0;
};

} // namespace Pooler
