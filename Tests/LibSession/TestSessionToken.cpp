#define BOOST_TEST_MODULE SessionToken
#include <LibSession/SessionToken.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using Session::SessionToken;

BOOST_AUTO_TEST_CASE(PreservesPositionOfEveryGroup)
{
  SessionToken token;
  token.Raise("festival-1", { 3, 17 });
  token.Raise("festival-2", { 1, 900 });
  Core::LastReason reason;
  const auto decoded = SessionToken::Decode(token.Encode(), reason);
  BOOST_REQUIRE(decoded);
  BOOST_TEST(decoded->PositionOf("festival-1").ToText() == "3:17");
  BOOST_TEST(decoded->PositionOf("festival-2").ToText() == "1:900");
  BOOST_TEST(decoded->PositionOf("elsewhere").ToText() == "0:0");
}

BOOST_AUTO_TEST_CASE(RaiseNeverLowersPosition)
{
  SessionToken token;
  token.Raise("g", { 2, 5 });
  token.Raise("g", { 1, 99 });
  BOOST_TEST(token.PositionOf("g").ToText() == "2:5");
}

BOOST_AUTO_TEST_CASE(EveryDamagedCharacterIsDetected)
{
  SessionToken token;
  token.Raise("festival-1", { 3, 17 });
  const std::string encoded = token.Encode();
  for (std::size_t i = 0; i < encoded.size(); ++i) {
    std::string damaged = encoded;
    damaged[i] = damaged[i] == '0' ? '1' : '0';
    Core::LastReason reason;
    BOOST_TEST(!SessionToken::Decode(damaged, reason));
    BOOST_TEST(!reason.Text().empty());
  }
}

BOOST_DATA_TEST_CASE(InvalidTextIsRejected,
                     boost::unit_test::data::make(
                       { "", "m1.", "m2.00", "m1.zz00000000", "hello" }),
                     text)
{
  Core::LastReason reason;
  BOOST_TEST(!SessionToken::Decode(text, reason));
}
