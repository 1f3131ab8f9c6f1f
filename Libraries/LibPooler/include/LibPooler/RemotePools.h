#pragma once

#include <LibCore/Scheduler.h>
#include <LibMetrics/Metrics.h>
#include <LibPooler/Checkout.h>
#include <LibPooler/Log.h>
#include <LibPooler/Peers.h>

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Pooler {

class RemoteChannel;

/** Why an owner of connections is left alone for a while. */
enum class OwnerFailure
{
  /** It says nothing, though it should say that a request still waits. */
  Silent,
  /** The channel to it broke or couldn't be made. */
  Closed,
  /** It says that it owns no connections to the database. */
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
  /** Null when no owner gave a connection. */
  std::shared_ptr<CheckedOutLink> link;
  CheckoutGrant grant;
  /** When the owner that gave it was asked. */
  Core::Instant requestedAt{};
};

/**
 * The connections that other nodes have and this one uses. Asks the owners of a
 * group one after the other, those nearby first, and leaves one that is silent
 * alone for a while. One loop, one thread.
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

  /** Who owns connections of a group; empty: nobody but this node. */
  void SetOwners(const std::string& aGroup, std::vector<Member> aOwners);

  /**
   * Checks a connection out, at once or later; aDone runs once, never from
   * inside, unless the ticket is cancelled. aOnLost runs when the connection
   * breaks while it is checked out.
   */
  std::uint64_t Checkout(const std::string& aGroup,
                         CheckoutRequest aRequest,
                         Handler aDone,
                         std::function<void()> aOnLost);
  void Cancel(std::uint64_t aTicket);

  /** Channels that stand, used or not. */
  std::size_t Channels() const { return channels_.size(); }

private:
  friend class RemoteChannel;
  using ChannelHandle = std::shared_ptr<RemoteChannel>;

  struct Wait
  {
    std::string group;
    CheckoutRequest request;
    Core::Instant since{};
    Core::Instant due{};
    Core::Instant requestedAt{};
    Handler done;
    std::function<void()> onLost;
    /** The owners that have been asked, by key. */
    std::set<std::string> asked;
    ChannelHandle channel;
    Core::TimerHandle silence;
  };

  /** What is known of one owner, by key. */
  struct Owner
  {
    /** It is left alone until then, if there is another. */
    Core::Instant suspectUntil = Core::Instant::min();
    Core::Instant heardAt = Core::Instant::min();
    int inUse = 0;
  };

  bool IsOwner(const std::string& aKey) const;
  /** Closes channels to those who own nothing any more. */
  void ForgetFormerOwners();
  void Ask(std::uint64_t aTicket);
  const Member* ChooseOwner(const Wait& aWait) const;
  bool IsBetter(const Member& aLeft, const Member& aRight) const;
  Owner OwnerOf(const std::string& aKey) const;
  ChannelHandle TakeChannel(const Member& aOwner);
  void WatchSilence(std::uint64_t aTicket);
  void OnGrant(std::uint64_t aTicket, const CheckoutGrant& aGrant);
  /** The owner gave nothing; another one is asked, if there is one. */
  void AskNext(std::uint64_t aTicket);
  void Suspect(const std::string& aKey, OwnerFailure aTrouble);
  void Heard(const std::string& aKey);
  void Rest(const ChannelHandle& aChannel);
  void Drop(RemoteChannel& aChannel);

  Core::Scheduler& scheduler_;
  CheckoutDialer& dialer_;
  std::string dataCentre_;
  Metrics::Registry& metrics_;
  LogSink log_;
  std::map<std::string, std::vector<Member>> owners_;
  std::map<std::string, Owner> known_;
  std::map<std::uint64_t, Wait> waits_;
  std::set<ChannelHandle> channels_;
  /** Channels without a checkout, by the owner's key. */
  std::map<std::string, std::list<ChannelHandle>> resting_;
  std::uint64_t lastTicket_ = 0;
};

} // namespace Pooler
