#define BOOST_TEST_MODULE ClientCodec
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "ClientCodec.h"

#include <LibCore/Random.h>

namespace data = boost::unit_test::data;
using Sql::StatementKind;

namespace {

struct StatementCase
{
  const char* line;
  StatementKind kind;
  const char* name;
  const char* argument;
};

std::ostream&
operator<<(std::ostream& aStream, const StatementCase& aCase)
{
  return aStream << aCase.line;
}

const StatementCase kStatements[] = {
  { "QUERY a1 BEGIN", StatementKind::Begin, "", "" },
  { "QUERY a1 BEGIN FETCH", StatementKind::BeginReadOnly, "", "" },
  { "QUERY a1 COMMIT", StatementKind::Commit, "", "" },
  { "QUERY a1 ABORT", StatementKind::Rollback, "", "" },
  { "QUERY a1 FETCH 1a4", StatementKind::Read, "", "" },
  { "QUERY a1 STORE 1a4 some data", StatementKind::Write, "", "" },
  { "QUERY a1 SET colour dark blue",
    StatementKind::Set,
    "colour",
    "dark blue" },
  { "QUERY a1 PARSE s1 STORE q2c", StatementKind::Prepare, "s1", "STORE q2c" },
  { "QUERY a1 EXECUTE s1 1a4 x", StatementKind::Execute, "s1", "1a4 x" },
  { "QUERY a1 CLOSE s1", StatementKind::Deallocate, "s1", "" },
  // Texts that clients may not send, and unknown texts.
  { "QUERY a1 BEGIN STORE", StatementKind::Invalid, "", "" },
  { "QUERY a1 COMMIT now", StatementKind::Invalid, "", "" },
  { "QUERY a1 FETCH", StatementKind::Invalid, "", "" },
  { "QUERY a1 WAITLSN 3.4 FETCH 1", StatementKind::Invalid, "", "" },
  { "QUERY a1 STATUS", StatementKind::Invalid, "", "" },
  { "QUERY a1 STEPDOWN 9", StatementKind::Invalid, "", "" },
  { "QUERY a1 DISCARD", StatementKind::Invalid, "", "" },
  { "QUERY a1 PARSE s1 ABORT x", StatementKind::Invalid, "s1", "ABORT x" },
  { "QUERY a1 PARSE s1 FETCH", StatementKind::Invalid, "s1", "FETCH" },
  { "QUERY a1 fetch 1a4", StatementKind::Invalid, "", "" },
  { "QUERY a1", StatementKind::Invalid, "", "" },
  // A database could take a bare line feed as the end of the line and run the
  // rest as a second statement.
  { "QUERY a1 FETCH 1\nQUERY b STORE 1 x", StatementKind::Invalid, "", "" },
  { "QUERY a1 FETCH 1\rQUERY b STORE 1 x", StatementKind::Invalid, "", "" },
};

const char* const kUnreadable[] = {
  "",        "HELLO",    "QUERY",     "QUERY ",           "QUERY - FETCH 1",
  "STARTUP", "STARTUP ", "READY I -", "query a1 FETCH 1", "QUERY a\tb FETCH 1",
};

} // namespace

BOOST_DATA_TEST_CASE(ReadsStatements, data::make(kStatements))
{
  const auto message = Adapter::ParseClientLine(sample.line);
  const auto* statement = std::get_if<Sql::Statement>(&message);
  BOOST_REQUIRE(statement != nullptr);
  BOOST_TEST((Sql::kStatementKindNames.NameOf(statement->kind) ==
              Sql::kStatementKindNames.NameOf(sample.kind)));
  BOOST_TEST(statement->requestId == "a1");
  BOOST_TEST(statement->name == sample.name);
  BOOST_TEST(statement->argument == sample.argument);
}

BOOST_DATA_TEST_CASE(RejectsInvalidMessages, data::make(kUnreadable))
{
  const auto message = Adapter::ParseClientLine(sample);
  BOOST_TEST(std::holds_alternative<Adapter::UnreadableMessage>(message));
}

BOOST_AUTO_TEST_CASE(KeepsTheTextUnchanged)
{
  const auto message =
    Adapter::ParseClientLine("QUERY x7 STORE 9  two  blanks ");
  BOOST_TEST(std::get<Sql::Statement>(message).text == "STORE 9  two  blanks ");
}

BOOST_AUTO_TEST_CASE(ReadsStartupAndTerminate)
{
  const auto startup = Adapter::ParseClientLine("STARTUP lepu270 u3f1");
  BOOST_TEST(std::get<Adapter::StartupMessage>(startup).database == "lepu270");
  const auto end = Adapter::ParseClientLine("TERMINATE");
  BOOST_TEST(std::holds_alternative<Adapter::TerminateMessage>(end));
}

BOOST_AUTO_TEST_CASE(EncodesReplies)
{
  BOOST_TEST(Adapter::EncodeReady(Sql::TransactionState::Failed) ==
             "READY E -\r\n");
  BOOST_TEST(Adapter::EncodeSuccess({ "a b", "" }, "7.1f") ==
             "DATAROW a b\r\nDATAROW \r\nCOMPLETE 7.1f\r\n");
  BOOST_TEST(Adapter::EncodeError({ Sql::ErrorCode::InDoubt, "why" }) ==
             "ERROR INDOUBT why\r\n");
  BOOST_TEST(Adapter::EncodeError({ Sql::ErrorCode::Other, "NEWCODE why" }) ==
             "ERROR NEWCODE why\r\n");
}

/** Random bytes always yield a message; statement texts stay unaltered. */
BOOST_AUTO_TEST_CASE(SurvivesRandomBytes)
{
  constexpr int kRounds = 20'000;
  constexpr std::size_t kLongest = 60;
  const std::string words[] = { "QUERY ",   "STARTUP ", "BEGIN", " FETCH ",
                                "EXECUTE ", "PARSE ",   "\n",    "-" };
  Core::Random random(7);
  for (int round = 0; round < kRounds; ++round) {
    std::string line;
    while (line.size() < kLongest && !random.Chance(0.1)) {
      if (random.Chance(0.4))
        line += words[random.Below(std::size(words))];
      else
        line += static_cast<char>(random.Below(256));
    }
    const auto message = Adapter::ParseClientLine(line);
    const auto* statement = std::get_if<Sql::Statement>(&message);
    if (statement == nullptr)
      continue;
    BOOST_TEST_REQUIRE(line.ends_with(statement->text));
    const bool isOneLine = statement->text.find('\n') == std::string::npos;
    BOOST_TEST_REQUIRE(
      (isOneLine || statement->kind == StatementKind::Invalid));
  }
}
