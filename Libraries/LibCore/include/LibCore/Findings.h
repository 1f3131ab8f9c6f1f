#pragma once

#include <string>
#include <vector>

namespace Core {

/** One thing that is wrong with an input, and where it is. */
struct Finding
{
  /** A file and line, a JSON pointer or a setting's name. */
  std::string place;
  std::string text;
};

/** All that is wrong with one input, reported together. */
class Findings
{
public:
  void Add(std::string aPlace, std::string aText);
  bool IsEmpty() const { return list_.empty(); }
  const std::vector<Finding>& List() const { return list_; }

  /** One "place: text" a line, without a final line break. */
  std::string ToText() const;

private:
  std::vector<Finding> list_;
};

} // namespace Core
