#include <LibCore/Findings.h>

#include <utility>

namespace Core {

void
Findings::Add(std::string aPlace, std::string aText)
{
  list_.push_back({ std::move(aPlace), std::move(aText) });
}

std::string
Findings::ToText() const
{
  std::string text;
  for (const Finding& finding : list_) {
    if (!text.empty())
      text += '\n';
    text += finding.place + ": " + finding.text;
  }
  return text;
}

} // namespace Core
