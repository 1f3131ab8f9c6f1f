#define BOOST_TEST_MODULE ControlLinks
#include "../Simulation/VirtualTime.h"

#include <LibPooler/ControlLinks.h>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <utility>
#include <vector>

using namespace std::chrono_literals;

namespace {

constexpr Core::Duration kTimeout = 500ms;

/** Notes the commands that would be written to its connection. */
class NotingLink final : public Sql::DatabaseLink
{
public:
  void Send(const Sql::DatabaseCommand& aCommand, Sql::ReplyHandler) override
  {
    sent.push_back(aCommand.kind);
  }

  std::vector<Sql::CommandKind> sent;
};

/** Leaves each dial open until the test answers it. */
class HeldDialer final : public Sql::DatabaseDialer
{
public:
  void Dial(const Sql::DatabaseAddress&,
            std::function<void(Sql::DialOutcome)> aDone,
            std::function<void()>) override
  {
    done = std::move(aDone);
  }
  std::optional<Sql::DatabaseStatus> ReadStatus(
    const Sql::DatabaseReply&) const override
  {
    return std::nullopt;
  }

  std::function<void(Sql::DialOutcome)> done;
};

/** How long the process stands still while its connection is established. */
struct StandstillCase
{
  const char* name;
  Core::Duration time;
  std::size_t sent;
};

std::ostream&
operator<<(std::ostream& aStream, const StandstillCase& aCase)
{
  return aStream << aCase.name;
}

const StandstillCase kStandstills[] = {
  { "shorter than the timeout", kTimeout - 1ms, 1 },
  { "as long as the timeout", kTimeout, 0 },
  { "far longer", 4s, 0 },
};

} // namespace

/**
 * Guards against a command of a former holder of the failover duty: it stood
 * still while it connected, and what the new connection allows is handled
 * before the timer that would end the command.
 */
BOOST_DATA_TEST_CASE(NoCommandIsSentAfterItsTimeout,
                     boost::unit_test::data::make(kStandstills))
{
  Simulation::VirtualTime time;
  Simulation::ActorTime process(time);
  HeldDialer dialer;
  Pooler::ControlLinks links(process, dialer);
  Pooler::DatabaseList list;
  list["p"].id = "p";
  links.SetDatabases(list);
  int ends = 0;
  links.SendCommand("p",
                    { .kind = Sql::CommandKind::StepDown },
                    kTimeout,
                    [&ends](const Authority::ProbeOutcome& aOutcome) {
                      BOOST_TEST(!aOutcome.status.has_value());
                      ++ends;
                    });
  process.Freeze();
  time.RunUntil(time.Now() + sample.time);
  const auto link = std::make_shared<NotingLink>();
  Sql::DialOutcome outcome;
  outcome.link = link;
  dialer.done(std::move(outcome));
  process.Thaw();
  time.RunUntil(time.Now() + kTimeout);
  BOOST_TEST(link->sent.size() == sample.sent);
  BOOST_TEST(ends == 1);
  time.Close();
}
