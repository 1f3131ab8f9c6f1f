#define BOOST_TEST_MODULE CheckoutMessages
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "../../Libraries/LibPeers/CheckoutMessages.h"

using namespace std::chrono_literals;

namespace {

/** Checks that the text is one line ended by CRLF, and removes the CRLF. */
std::string
WithoutLineEnd(std::string aText)
{
  BOOST_REQUIRE(aText.size() > 2);
  BOOST_TEST(aText.substr(aText.size() - 2) == "\r\n");
  aText.resize(aText.size() - 2);
  BOOST_TEST(aText.find('\n') == std::string::npos);
  return aText;
}

/** Decodes an encoded line, as the receiver does. Requires no findings. */
template<typename Message, typename Decode>
Message
DecodeMessage(std::string aLine, Decode aDecode)
{
  Core::Findings findings;
  const auto read = aDecode(WithoutLineEnd(std::move(aLine)), findings);
  BOOST_TEST(findings.ToText() == "");
  BOOST_REQUIRE(read.has_value());
  return std::get<Message>(*read);
}

template<typename Message>
Message
RoundTripToOwner(const Message& aMessage)
{
  return DecodeMessage<Message>(Peers::EncodeToOwner(aMessage),
                                Peers::DecodeToOwner);
}

template<typename Message>
Message
RoundTripFromOwner(const Message& aMessage)
{
  return DecodeMessage<Message>(Peers::EncodeFromOwner(aMessage),
                                Peers::DecodeFromOwner);
}

const std::string kArbitraryBytes = "a\r\n\"b\\ \xff\xc3( \x01 end";

const std::vector<std::string> kMalformedLines{
  "",
  "no json",
  "[]",
  "{}",
  R"({"kind":"unheard_of"})",
  R"({"kind":"request"})",
  R"({"kind":"request","database":1,"due_us":2,"values":{}})",
  R"({"kind":"request","database":"d","due_us":2,"values":{"a":1}})",
  R"({"kind":"command","command":"odd","request":"","text":"","name":""})",
  R"({"kind":"reply","complete":true,"signature":"","state":"odd","rows":[]})",
  R"({"kind":"reply","signature":"","state":"idle","rows":[1]})",
  R"({"kind":"refusal","reason":"odd"})",
  R"({"kind":"grant","shape_name":"m1","last_name":-1})",
  R"({"kind":"grant","shape_name":"m1","last_name":1,"slow_percent":{"i":0}})",
  R"({"kind":"grant","shape_name":"m1","last_name":1)",
};

} // namespace

BOOST_AUTO_TEST_CASE(RequestRoundTripsUnchanged)
{
  Pooler::CheckoutRequest request;
  request.database = "db-1";
  request.dueIn = -250ms;
  request.values = { { "zone", kArbitraryBytes }, { "user", "" } };
  request.preparedText = kArbitraryBytes;
  request.mustValidate = true;
  request.customer = kArbitraryBytes;
  request.fitsAnyCustomer = true;
  const auto read = RoundTripToOwner(request);
  BOOST_TEST(read.database == request.database);
  BOOST_CHECK(read.dueIn == request.dueIn);
  BOOST_CHECK(read.values == request.values);
  BOOST_CHECK(read.preparedText == request.preparedText);
  BOOST_TEST(read.mustValidate);
  BOOST_TEST(read.customer == request.customer);
  BOOST_TEST(read.fitsAnyCustomer);
}

/**
 * Nodes of earlier releases neither send nor know the customer, and the bytes
 * between data centres are paid for.
 */
BOOST_AUTO_TEST_CASE(RequestWithoutCustomerHasNoField)
{
  const std::string line =
    Peers::EncodeToOwner(Pooler::CheckoutRequest{ .database = "db-1" });
  BOOST_TEST(line.find("customer") == std::string::npos);
  const auto read = RoundTripToOwner(Pooler::CheckoutRequest{});
  BOOST_TEST(read.customer.empty());
  BOOST_TEST(!read.fitsAnyCustomer);
}

BOOST_DATA_TEST_CASE(
  CommandRoundTripsUnchanged,
  boost::unit_test::data::xrange(Sql::kCommandKindNames.entries.size()),
  aIndex)
{
  Sql::DatabaseCommand command;
  command.kind = Sql::kCommandKindNames.entries.at(aIndex).first;
  command.requestId = "r1";
  command.text = kArbitraryBytes;
  command.name = "m1";
  command.argument = kArbitraryBytes;
  command.term = command.kind == Sql::CommandKind::StepDown ? 7 : 0;
  command.minimumPosition = Session::LogPosition{ 3, 9 };
  const auto read = RoundTripToOwner(command);
  BOOST_CHECK(read.kind == command.kind);
  BOOST_TEST(read.requestId == command.requestId);
  BOOST_TEST(read.text == command.text);
  BOOST_TEST(read.name == command.name);
  BOOST_TEST(read.argument == command.argument);
  BOOST_TEST(read.term == command.term);
  BOOST_CHECK(read.minimumPosition == command.minimumPosition);
}

BOOST_AUTO_TEST_CASE(ReturnRoundTripsUnchanged)
{
  for (const bool isClean : { false, true }) {
    const auto read =
      RoundTripToOwner(Pooler::CheckoutReturn{ isClean, !isClean });
    BOOST_TEST(read.isClean == isClean);
    BOOST_TEST(read.isChanged == !isClean);
  }
}

BOOST_AUTO_TEST_CASE(ReplyRoundTripsUnchanged)
{
  Sql::DatabaseReply reply;
  reply.isComplete = true;
  reply.rows = { "one", kArbitraryBytes, "" };
  reply.signature = "-";
  reply.error = Sql::Error{ Sql::ErrorCode::Lagging, kArbitraryBytes };
  reply.state = Sql::TransactionState::Failed;
  reply.position = Session::LogPosition{ 2, 5 };
  const auto read = RoundTripFromOwner(reply);
  BOOST_TEST(read.isComplete);
  BOOST_CHECK(read.rows == reply.rows);
  BOOST_TEST(read.signature == reply.signature);
  BOOST_REQUIRE(read.error.has_value());
  BOOST_CHECK(read.error->code == reply.error->code);
  BOOST_TEST(read.error->text == reply.error->text);
  BOOST_CHECK(read.state == reply.state);
  BOOST_CHECK(read.position == reply.position);
  BOOST_TEST(!RoundTripFromOwner(Sql::DatabaseReply{}).isComplete);
}

/**
 * Guards against answers that end the channel to the owner, and are asked for
 * again at others, because they exceed what the borrower reads.
 */
BOOST_AUTO_TEST_CASE(ALongerReplyThanABorrowerReadsIsAnError)
{
  Sql::DatabaseReply reply;
  reply.isComplete = true;
  reply.state = Sql::TransactionState::Open;
  reply.signature = "s";
  reply.position = Session::LogPosition{ 3, 1209 };
  reply.rows.assign(9, std::string(1'000'000, 'x'));
  BOOST_TEST(Peers::EncodeFromOwner(reply).size() <=
             Peers::kMaxCheckoutLineBytes);
  const auto read = RoundTripFromOwner(reply);
  BOOST_TEST(read.isComplete);
  BOOST_TEST(read.rows.empty());
  BOOST_REQUIRE(read.error.has_value());
  BOOST_CHECK(read.error->code == Sql::ErrorCode::TooLarge);
  BOOST_CHECK(read.state == Sql::TransactionState::Open);
  BOOST_TEST((read.position == reply.position));
  reply.rows.resize(7);
  BOOST_TEST(RoundTripFromOwner(reply).IsSuccess());
}

BOOST_AUTO_TEST_CASE(GrantRefusalAndWaitingRoundTripUnchanged)
{
  const auto grant =
    RoundTripFromOwner(Pooler::CheckoutGrant{ "m4", 9, std::nullopt });
  BOOST_TEST(grant.preparedName == "m4");
  BOOST_TEST(grant.lastName == 9U);
  BOOST_TEST(!grant.position.has_value());
  BOOST_TEST(!grant.sample.has_value());
  BOOST_TEST(grant.slow.empty());
  Pooler::CheckoutGrant sampled;
  sampled.slow = { { "i-1", 2.5 } };
  sampled.sample = Pooler::RelayedSample{ 250ms, { 4, 11 } };
  const auto read = RoundTripFromOwner(sampled);
  BOOST_REQUIRE(read.sample.has_value());
  BOOST_CHECK(read.sample->age == 250ms);
  BOOST_CHECK((read.sample->position == Session::LogPosition{ 4, 11 }));
  BOOST_TEST(read.slow.at("i-1") == 2.5);
  for (const auto& [refusal, name] : Pooler::kCheckoutRefusalNames.entries)
    BOOST_CHECK(RoundTripFromOwner(refusal) == refusal);
  RoundTripFromOwner(Peers::CheckoutWaiting{});
}

BOOST_DATA_TEST_CASE(MalformedLineIsRejectedWithFindings,
                     kMalformedLines,
                     aLine)
{
  Core::Findings toOwner;
  BOOST_TEST(!Peers::DecodeToOwner(aLine, toOwner).has_value());
  BOOST_TEST(!toOwner.IsEmpty());
  Core::Findings fromOwner;
  BOOST_TEST(!Peers::DecodeFromOwner(aLine, fromOwner).has_value());
  BOOST_TEST(!fromOwner.IsEmpty());
}
