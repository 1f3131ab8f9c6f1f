#include <LibPooler/QuotaExchange.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace Pooler {

namespace {

/** Without a heartbeat for this long, the holder counts as out of reach. */
constexpr Core::Duration kHolderTimeout = std::chrono::milliseconds(1500);

/** How often refused operations are logged. */
constexpr Core::Duration kLogInterval = std::chrono::seconds(5);

/** The number of customers with metrics of their own. */
constexpr std::size_t kCustomersInMetrics = 8;

using CustomerUsage = std::pair<std::string, Quota::Usage>;

void
SetGauges(Metrics::Registry& aMetrics, const CustomerUsage& aUsage)
{
  const std::string of = "{customer=\"" + aUsage.first + "\"}";
  const auto set = [&](const char* aName, double aValue) {
    aMetrics.Set(aName + of, static_cast<std::int64_t>(aValue));
  };
  const Quota::Usage& usage = aUsage.second;
  set("quota_admitted", static_cast<double>(usage.admitted));
  set("quota_refused_beyond", static_cast<double>(usage.refusedBeyondQuota));
  set("quota_refused_no_share", static_cast<double>(usage.refusedWithoutShare));
  set("quota_share_rate", usage.rate);
}

void
Add(Quota::Usage& aSum, const Quota::Usage& aUsage)
{
  aSum.admitted += aUsage.admitted;
  aSum.refusedBeyondQuota += aUsage.refusedBeyondQuota;
  aSum.refusedWithoutShare += aUsage.refusedWithoutShare;
  aSum.rate += aUsage.rate;
}

} // namespace

QuotaExchange::QuotaExchange(Core::Scheduler& aScheduler,
                             PeerLink& aPeers,
                             const MemberRoster& aRoster,
                             std::string aMemberKey,
                             Quota::Tolerance aTolerance,
                             std::function<std::uint64_t()> aTerm,
                             LogSink aLog)
  : scheduler_(aScheduler)
  , peers_(aPeers)
  , roster_(aRoster)
  , memberKey_(std::move(aMemberKey))
  , tolerance_(aTolerance)
  , term_(std::move(aTerm))
  , log_(std::move(aLog))
  , shares_(aScheduler, *this, memberKey_)
{
}

QuotaExchange::~QuotaExchange() = default;

void
QuotaExchange::ApplyConfiguration(const Configuration& aConfiguration)
{
  std::map<std::string, Quota::Allotment> allotments;
  std::set<std::string> limited;
  for (const auto& [name, customer] : aConfiguration.customers) {
    if (!customer.limit)
      continue;
    limited.insert(name);
    allotments[name] = Quota::MakeAllotment(
      customer.limit->perSecond, customer.limit->burst, tolerance_);
  }
  if (!limited.empty() && logTimer_ == nullptr)
    logTimer_ = scheduler_.Every(kLogInterval, [this] { LogRefusals(); });
  book_.SetAllotments(std::move(allotments), scheduler_.Now());
  shares_.SetLimited(std::move(limited));
}

void
QuotaExchange::OnHeartbeat(const Heartbeat& aHeartbeat)
{
  if (aHeartbeat.receiver != memberKey_)
    return;
  const bool isFromHolder = aHeartbeat.sender == holder_;
  if (aHeartbeat.resigns && isFromHolder)
    heardAt_ = Core::Instant::min();
  if (aHeartbeat.resigns)
    return;
  holder_ = aHeartbeat.sender;
  heardAt_ = scheduler_.Now();
}

void
QuotaExchange::Tick()
{
  book_.SetTerm(term_(), scheduler_.Now());
  shares_.Tick();
}

Quota::ShareResponse
QuotaExchange::Answer(const Quota::ShareRequest& aRequest)
{
  const Core::Instant now = scheduler_.Now();
  book_.SetTerm(term_(), now);
  return book_.Answer(aRequest, now);
}

bool
QuotaExchange::IsReachable() const
{
  const bool isHeard = heardAt_ != Core::Instant::min() &&
                       scheduler_.Now() - heardAt_ < kHolderTimeout;
  return isHeard || term_() != 0;
}

void
QuotaExchange::RequestShares(
  const Quota::ShareRequest& aRequest,
  std::function<void(std::optional<Quota::ShareResponse>)> aDone)
{
  if (term_() != 0) {
    scheduler_.Defer([done = std::move(aDone), response = Answer(aRequest)] {
      done(response);
    });
    return;
  }
  const Member* holder = roster_.Find(holder_);
  if (holder == nullptr) {
    scheduler_.Defer([done = std::move(aDone)] { done(std::nullopt); });
    return;
  }
  peers_.RequestShares(*holder, aRequest, std::move(aDone));
}

void
QuotaExchange::LogRefusals()
{
  auto usage = shares_.UsageByCustomer();
  for (const auto& [customer, now] : usage) {
    const Quota::Usage& before = logged_[customer];
    const std::uint64_t beyond =
      now.refusedBeyondQuota - before.refusedBeyondQuota;
    const std::uint64_t noShare =
      now.refusedWithoutShare - before.refusedWithoutShare;
    if (beyond + noShare == 0)
      continue;
    log_("quota_refusals",
         { { "customer", customer },
           { "beyond_quota", beyond },
           { "no_share", noShare },
           { "admitted", now.admitted - before.admitted },
           { "share_rate", now.rate } });
  }
  logged_ = std::move(usage);
}

void
QuotaExchange::UpdateGauges(Metrics::Registry& aMetrics) const
{
  std::vector<CustomerUsage> usage;
  for (auto& entry : shares_.UsageByCustomer())
    usage.emplace_back(entry);
  std::sort(usage.begin(), usage.end(), [](const auto& aOne, const auto& aTwo) {
    return aOne.second.admitted > aTwo.second.admitted;
  });
  CustomerUsage rest{ "others", {} };
  for (std::size_t index = 0; index < usage.size(); ++index) {
    if (index < kCustomersInMetrics)
      SetGauges(aMetrics, usage[index]);
    else
      Add(rest.second, usage[index].second);
  }
  if (usage.size() > kCustomersInMetrics)
    SetGauges(aMetrics, rest);
}

} // namespace Pooler
