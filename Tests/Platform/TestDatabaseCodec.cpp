#define BOOST_TEST_MODULE DatabaseCodec
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "DatabaseCodec.h"

#include <LibCore/Random.h>

namespace data = boost::unit_test::data;
using Adapter::ReplyReader;
using Sql::CommandKind;

namespace {

struct CommandCase
{
  Sql::DatabaseCommand command;
  const char* line;
};

std::ostream&
operator<<(std::ostream& aStream, const CommandCase& aCase)
{
  return aStream << aCase.line;
}

const CommandCase kCommands[] = {
  { { .kind = CommandKind::Status }, "QUERY - STATUS\r\n" },
  { { .kind = CommandKind::Begin }, "QUERY - BEGIN\r\n" },
  { { .kind = CommandKind::Rollback }, "QUERY - ABORT\r\n" },
  { { .kind = CommandKind::DiscardAll }, "QUERY - DISCARD\r\n" },
  { { .kind = CommandKind::BeginReadOnly,
      .minimumPosition = Session::LogPosition{ 3, 9 } },
    "QUERY - WAITLSN 3.9 BEGIN FETCH\r\n" },
  { { .kind = CommandKind::StepDown, .term = 4 }, "QUERY - STEPDOWN 4\r\n" },
  { { .kind = CommandKind::Set, .name = "a", .argument = "b c" },
    "QUERY - SET a b c\r\n" },
  { { .kind = CommandKind::Prepare, .name = "m1", .argument = "FETCH q" },
    "QUERY - PARSE m1 FETCH q\r\n" },
  { { .kind = CommandKind::ClientExecute,
      .requestId = "r1",
      .name = "m1",
      .argument = "1a4 x" },
    "QUERY r1 EXECUTE m1 1a4 x\r\n" },
  { { .kind = CommandKind::ClientStatement,
      .requestId = "r1",
      .text = "FETCH 1a4",
      .minimumPosition = Session::LogPosition{ 3, 1207 } },
    "QUERY r1 WAITLSN 3.1207 FETCH 1a4\r\n" },
};

struct StatusCase
{
  const char* row;
  bool isReadable;
};

std::ostream&
operator<<(std::ostream& aStream, const StatusCase& aCase)
{
  return aStream << aCase.row;
}

const StatusCase kStatuses[] = {
  { "follower 3 3.1209 0 12 2 17", true },
  { "leader 1 1.0 0 0 0 0", true },
  { "leader 1 1.0", true },
  { "king 1 1.0 0 0 0 0", false },
  { "leader x 1.0 0 0 0 0", false },
  { "leader 1 10 0 0 0 0", false },
  { "", false },
};

} // namespace

BOOST_DATA_TEST_CASE(EncodesCommands, data::make(kCommands))
{
  BOOST_TEST(Adapter::EncodeCommand(sample.command) == sample.line);
}

BOOST_DATA_TEST_CASE(ReadsStatusRows, data::make(kStatuses))
{
  BOOST_TEST(Adapter::ReadStatusRow(sample.row).has_value() ==
             sample.isReadable);
}

BOOST_AUTO_TEST_CASE(NamesTheCustomerAtStartup)
{
  BOOST_TEST(Adapter::EncodeStartup("g1", "c1", "i-1") ==
             "STARTUP g1 c1 i-1\r\n");
  BOOST_TEST(Adapter::EncodeStartup("g1", "", "i-1") ==
             "STARTUP g1 mastichold i-1\r\n");
}

BOOST_AUTO_TEST_CASE(ReadsAStatus)
{
  const auto status = Adapter::ReadStatusRow("follower 3 2.1209 8 12 2 17");
  BOOST_REQUIRE(status.has_value());
  BOOST_TEST(!status->isPrimary);
  BOOST_TEST(status->term == 3U);
  BOOST_TEST((status->received == Session::LogPosition{ 2, 1209 }));
  BOOST_TEST(status->connections == 17);
}

BOOST_AUTO_TEST_CASE(CollectsASuccess)
{
  ReplyReader reader;
  BOOST_CHECK(reader.AddLine("DATAROW one") ==
              ReplyReader::Progress::NeedsMore);
  BOOST_CHECK(reader.AddLine("COMPLETE 7.1f") ==
              ReplyReader::Progress::NeedsMore);
  BOOST_CHECK(reader.AddLine("READY T 3.12") ==
              ReplyReader::Progress::Complete);
  const Sql::DatabaseReply reply = reader.Take();
  BOOST_TEST(reply.IsSuccess());
  BOOST_TEST(reply.rows.size() == 1U);
  BOOST_TEST(reply.signature == "7.1f");
  BOOST_CHECK(reply.state == Sql::TransactionState::Open);
  BOOST_TEST((reply.position == Session::LogPosition{ 3, 12 }));
}

BOOST_AUTO_TEST_CASE(CollectsAnErrorAndResets)
{
  ReplyReader reader;
  reader.AddLine("ERROR READONLY i-7f");
  reader.AddLine("READY E -");
  const Sql::DatabaseReply reply = reader.Take();
  BOOST_REQUIRE(reply.error.has_value());
  BOOST_CHECK(reply.error->code == Sql::ErrorCode::ReadOnly);
  BOOST_TEST(!reply.position.has_value());
  reader.AddLine("COMPLETE -");
  reader.AddLine("READY I 1.1");
  BOOST_TEST(reader.Take().IsSuccess());
}

/**
 * Guards against answers that a node collects whole although no client could be
 * sent them, until its memory has run out.
 */
BOOST_AUTO_TEST_CASE(AnAnswerBeyondItsLimitIsAnErrorAndIsNotKept)
{
  constexpr std::size_t kMostBytes = 10'000;
  ReplyReader reader(kMostBytes);
  const std::string row = "DATAROW " + std::string(1000, 'x');
  for (int i = 0; i < 50; ++i) {
    BOOST_CHECK(reader.AddLine(row) == ReplyReader::Progress::NeedsMore);
    BOOST_TEST(reader.HeldBytes() <= kMostBytes);
  }
  BOOST_TEST(reader.HeldBytes() == 0U);
  reader.AddLine("COMPLETE 7.1f");
  BOOST_CHECK(reader.AddLine("READY T 3.12") ==
              ReplyReader::Progress::Complete);
  const Sql::DatabaseReply reply = reader.Take();
  BOOST_TEST(reply.isComplete);
  BOOST_TEST(reply.rows.empty());
  BOOST_REQUIRE(reply.error.has_value());
  BOOST_CHECK(reply.error->code == Sql::ErrorCode::TooLarge);
  BOOST_CHECK(reply.state == Sql::TransactionState::Open);
  // The next answer on the connection is whole.
  reader.AddLine(row);
  reader.AddLine("COMPLETE 7.1f");
  reader.AddLine("READY I -");
  BOOST_TEST(reader.Take().IsSuccess());
}

BOOST_AUTO_TEST_CASE(RejectsRowsAfterTheResult)
{
  ReplyReader reader;
  reader.AddLine("COMPLETE 1");
  BOOST_CHECK(reader.AddLine("DATAROW late") ==
              ReplyReader::Progress::Unreadable);
}

BOOST_AUTO_TEST_CASE(SurvivesRandomLines)
{
  constexpr int kRounds = 20'000;
  const std::string words[] = { "DATAROW ", "COMPLETE ", "ERROR ", "READY ",
                                "I ",       "E ",        "3.4",    "BUSY" };
  Core::Random random(11);
  ReplyReader reader;
  for (int round = 0; round < kRounds; ++round) {
    std::string line;
    while (!random.Chance(0.3))
      line += words[random.Below(std::size(words))];
    if (reader.AddLine(line) != ReplyReader::Progress::NeedsMore)
      reader.Take();
  }
}
