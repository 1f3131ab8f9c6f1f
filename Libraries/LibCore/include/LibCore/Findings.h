#pragma once

#include <string>
#include <vector>

namespace Core {

/** One error in an input, with its location. */
struct Finding
{
  /** A file and line, a JSON pointer or the name of a setting. */
  std::string place;
  std::string text;
};

/** Collects all errors in one input, so that they are reported together. */
class Findings
{
public:
  void Add(std::string aPlace, std::string aText);
  bool IsEmpty() const { return list_.empty(); }
  const std::vector<Finding>& List() const { return list_; }

  /** Returns one "place: text" line per finding, without a final newline. */
  std::string ToText() const;

private:
  std::vector<Finding> list_;
};

} // namespace Core
