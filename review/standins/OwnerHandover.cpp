#include "World.h"

#include <LibPooler/PoolOwners.h>

#include <map>
#include <set>
#include <utility>

namespace Review {

using namespace std::chrono_literals;

namespace {

/** About as few connections a node as the grown sites have. */
constexpr int kMaxConnections = 6;
/** The share of the connections that nodes use (see mastichold-node). */
constexpr double kUsableShare = 0.7;
constexpr int kNodes = 4;
/** As those of the route "judge-sheets". */
constexpr int kTimeoutMilliseconds = 3000;
constexpr int kTargetMilliseconds = 800;
constexpr int kTransactionClients = 8;
constexpr int kPlainClients = 2;
constexpr Core::Duration kAnswerDelay = 10ms;
constexpr Core::Duration kPause = 20ms;

/** Names such that the node that joins owns connections in place of another. */
struct Names
{
  std::vector<std::string> first;
  std::string joining;
};

std::set<std::string>
OwnerNames(const std::vector<std::string>& aNames)
{
  std::vector<Pooler::Member> members;
  for (const std::string& name : std::set(aNames.begin(), aNames.end())) {
    Pooler::Member member;
    member.name = name;
    member.dataCentre = "z1";
    member.processors = 0.25;
    members.push_back(std::move(member));
  }
  const auto usable = static_cast<int>(kMaxConnections * kUsableShare);
  std::set<std::string> owners;
  for (const Pooler::Member& owner :
       Pooler::OwnersOf(kService, members, usable))
    owners.insert(owner.name);
  return owners;
}

Names
ChooseNames()
{
  Names names;
  for (int i = 1; i <= kNodes; ++i)
    names.first.push_back("front-" + std::to_string(i));
  for (int i = kNodes + 1; names.joining.empty(); ++i) {
    const std::string name = "front-" + std::to_string(i);
    std::vector<std::string> all = names.first;
    all.push_back(name);
    if (OwnerNames(all).contains(name))
      names.joining = name;
  }
  return names;
}

/** The session values that each client's session has been acknowledged. */
using Acknowledged = std::map<std::string, Values>;

/**
 * A client that repeats one operation, each in a session of its own: a
 * transaction that sets a session value between its reads.
 */
class TransactionClient
{
public:
  TransactionClient(World& aWorld,
                    std::string aName,
                    Wire::Address aNode,
                    Acknowledged& aAcknowledged)
    : world_(aWorld)
    , name_(std::move(aName))
    , node_(std::move(aNode))
    , acknowledged_(aAcknowledged)
  {
    Connect();
  }

  int committed = 0;

private:
  void Connect()
  {
    step_ = 0;
    ++sessions_;
    session_ = std::make_shared<ClientSession>(
      world_.loop, node_, kRouteHost, [this](const Reply& aReply) {
        OnReply(aReply);
      });
  }

  std::string Zone() const { return name_ + '-' + std::to_string(sessions_); }
  std::string SessionName() const { return "tx." + Zone(); }

  void OnReply(const Reply& aReply)
  {
    if (step_ == 3 && aReply.IsSuccess())
      acknowledged_[SessionName()]["tz"] = Zone();
    if (step_ == 5 && aReply.IsSuccess())
      ++committed;
    if (!aReply.IsSuccess() || step_ == 5) {
      world_.loop.Defer([session = std::move(session_)] {});
      timer_ = world_.loop.After(kPause, [this] { Connect(); });
      return;
    }
    timer_ = world_.loop.After(kPause, [this] { SendNext(); });
  }

  void SendNext()
  {
    const std::vector<std::string> texts{
      "BEGIN", "FETCH flight", "SET tz " + Zone(), "FETCH sheet", "COMMIT"
    };
    const std::string& text = texts[static_cast<std::size_t>(step_)];
    ++step_;
    session_->Send(SessionName() + '.' + std::to_string(step_), text);
  }

  World& world_;
  std::string name_;
  Wire::Address node_;
  Acknowledged& acknowledged_;
  int step_ = 0;
  int sessions_ = 0;
  std::shared_ptr<ClientSession> session_;
  Core::TimerHandle timer_;
};

std::string
ToText(const Values& aValues)
{
  std::string text("{");
  for (const auto& [name, value] : aValues)
    text.append(" ").append(name).append("=").append(value);
  return text.append(" }");
}

/** Compares what databases see with what clients were acknowledged. */
class ValuesCheck
{
public:
  explicit ValuesCheck(World& aWorld)
  {
    for (const auto& database : aWorld.databases)
      database->OnRun(
        [this, &aWorld](const RunStatement& aRun) { Check(aWorld, aRun); });
  }

  Acknowledged acknowledged;
  int statements = 0;
  int foreign = 0;

private:
  void Check(World& aWorld, const RunStatement& aRun)
  {
    ++statements;
    const std::string session =
      aRun.requestId.substr(0, aRun.requestId.rfind('.'));
    const Values& expected = acknowledged[session];
    const bool isForeign = expected != aRun.values;
    foreign += isForeign ? 1 : 0;
    std::string line = aRun.database;
    line += " ran " + aRun.requestId + " (" + aRun.text + ") on connection " +
            std::to_string(aRun.connection) + " with values " +
            ToText(aRun.values);
    if (isForeign)
      line += ", FOREIGN: its client was acknowledged " + ToText(expected);
    aWorld.record.Add(line);
  }
};

} // namespace

Outcome
PlayOwnerHandover(const Options& aOptions)
{
  World world(aOptions, kAnswerDelay);
  ValuesCheck check(world);
  world.Configure(
    kMaxConnections,
    1,
    { { kRouteHost, kService, kTimeoutMilliseconds, kTargetMilliseconds } });
  const Names names = ChooseNames();
  const auto start = [&world](const std::string& aName) {
    const Wire::Address store = world.platform.OpenView();
    world.StartNode(aName, "z1", PickNodeAddresses(), store, store);
  };
  for (const std::string& name : names.first)
    start(name);
  if (!world.AwaitService())
    return Outcome::NotRun;
  const std::set<std::string> owners = OwnerNames(names.first);
  std::vector<std::unique_ptr<TransactionClient>> transactions;
  std::vector<std::unique_ptr<StatementClient>> plain;
  for (const auto& node : world.nodes) {
    const Wire::Address address = node->Addresses().clients;
    if (owners.contains(node->Name())) {
      world.record.Add(node->Name() + " owns connections");
      continue;
    }
    for (int i = 0; i < kTransactionClients; ++i)
      transactions.push_back(std::make_unique<TransactionClient>(
        world,
        node->Name() + '-' + std::to_string(i),
        address,
        check.acknowledged));
    for (int i = 0; i < kPlainClients; ++i)
      plain.push_back(std::make_unique<StatementClient>(
        world.loop,
        "plain." + node->Name() + '-' + std::to_string(i),
        address,
        kRouteHost,
        kPause,
        [] { return "FETCH sheet"; },
        [](const auto&, const auto&, const Reply&) {}));
  }
  world.RunFor(6s);
  if (aOptions.isTroubled)
    start(names.joining);
  world.RunFor(10s);
  int committed = 0;
  for (const auto& client : transactions)
    committed += client->committed;
  world.record.Add("transactions committed " + std::to_string(committed) +
                   ", statements run " + std::to_string(check.statements) +
                   ", with foreign session values " +
                   std::to_string(check.foreign));
  if (world.HasNodeEnded() || committed == 0)
    return Outcome::NotRun;
  return check.foreign > 0 ? Outcome::Broken : Outcome::Held;
}

} // namespace Review
