#include "Workload.h"

namespace Bench {

const std::vector<RequestKind>&
RequestMixOf(const std::string& aPreset)
{
  // Writes store the request id in the row, and the tables have no unique key,
  // so lost and duplicate writes are visible in the data.
  static const std::vector<RequestKind> kTasmania{
    { "lodge",
      60,
      40,
      true,
      "INSERT INTO intake VALUES(?, 'maker', 'lodge')",
      "" },
    { "settle fee", 60, 40, true, "INSERT INTO fees VALUES(?, 1500)", "" },
    { "log entry",
      100,
      30,
      true,
      "INSERT INTO intake VALUES(?, 's', 'log')",
      "" },
    { "score flight",
      80,
      20,
      true,
      "INSERT INTO scores VALUES(?, 'j', 90)",
      "" },
    { "steward lookup",
      500,
      50,
      false,
      "",
      "SELECT COUNT(*) FROM intake WHERE entry = ?" },
    { "browse intake",
      200,
      5,
      false,
      "",
      "SELECT COUNT(*) FROM intake WHERE entry > ? AND entry < 'a'" },
  };
  static const std::vector<RequestKind> kQuebec{
    { "save floor plan",
      150,
      30,
      true,
      "INSERT INTO inventory VALUES(?, 'plan', 1)",
      "" },
    { "book crew",
      100,
      50,
      true,
      "INSERT INTO bookings VALUES(?, 'day', 'h')",
      "" },
    { "inventory view",
      350,
      10,
      false,
      "",
      "SELECT COUNT(*) FROM inventory WHERE home = ?" },
    { "day plan lookup",
      400,
      40,
      false,
      "",
      "SELECT COUNT(*) FROM bookings WHERE crew = ?" },
  };
  return aPreset == "quebec" ? kQuebec : kTasmania;
}

std::vector<std::string>
RowCountQueries(const std::string& aPreset)
{
  if (aPreset == "quebec")
    return { "SELECT home, COUNT(*) FROM inventory GROUP BY home",
             "SELECT crew, COUNT(*) FROM bookings GROUP BY crew" };
  return { "SELECT entry, COUNT(*) FROM intake GROUP BY entry",
           "SELECT entry, COUNT(*) FROM fees GROUP BY entry",
           "SELECT entry, COUNT(*) FROM scores GROUP BY entry" };
}

} // namespace Bench
