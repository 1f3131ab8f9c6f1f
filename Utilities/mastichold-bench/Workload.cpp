#include "Workload.h"

namespace Bench {

const std::vector<KindSpec>&
MixOf(const std::string& aPreset)
{
  // The writes put the request's own id into the row, with no unique key, so
  // that a lost or doubled write can be seen in the data.
  static const std::vector<KindSpec> kTasmania{
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
  static const std::vector<KindSpec> kQuebec{
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
TagCounts(const std::string& aPreset)
{
  if (aPreset == "quebec")
    return { "SELECT home, COUNT(*) FROM inventory GROUP BY home",
             "SELECT crew, COUNT(*) FROM bookings GROUP BY crew" };
  return { "SELECT entry, COUNT(*) FROM intake GROUP BY entry",
           "SELECT entry, COUNT(*) FROM fees GROUP BY entry",
           "SELECT entry, COUNT(*) FROM scores GROUP BY entry" };
}

} // namespace Bench
