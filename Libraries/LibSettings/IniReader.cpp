#include <LibSettings/IniReader.h>

#include <ini.h>

#include <algorithm>
#include <cstring>
#include <set>
#include <utility>

namespace Settings {

namespace {

/** The state of inih's callbacks: the unread text and the parsed entries. */
struct ReadState
{
  std::string_view unread;
  int line = 0;
  std::vector<IniEntry> entries;
};

char*
ReadLine(char* aBuffer, int aSize, void* aState)
{
  auto* state = static_cast<ReadState*>(aState);
  if (state->unread.empty())
    return nullptr;
  ++state->line;
  const std::size_t end = state->unread.find('\n');
  const std::size_t lineLength =
    end == std::string_view::npos ? state->unread.size() : end + 1;
  const std::size_t copied =
    std::min(lineLength, static_cast<std::size_t>(aSize) - 1);
  std::memcpy(aBuffer, state->unread.data(), copied);
  aBuffer[copied] = '\0';
  // Skip what doesn't fit inih's buffer; ReportLongLines reports such lines.
  state->unread.remove_prefix(lineLength);
  return aBuffer;
}

int
AddEntry(void* aState,
         const char* aSection,
         const char* aKey,
         const char* aValue)
{
  auto* state = static_cast<ReadState*>(aState);
  state->entries.push_back({ state->line, aSection, aKey, aValue });
  return 1;
}

void
ReportLongLines(std::string_view aText,
                const std::string& aName,
                Core::Findings& aFindings)
{
  int line = 1;
  std::size_t start = 0;
  while (start < aText.size()) {
    const std::size_t end = std::min(aText.find('\n', start), aText.size());
    if (end - start >= INI_MAX_LINE - 1)
      aFindings.Add(aName + ':' + std::to_string(line),
                    "the line is longer than " +
                      std::to_string(INI_MAX_LINE - 2) + " characters");
    start = end + 1;
    ++line;
  }
}

void
ReportDuplicates(const std::vector<IniEntry>& aEntries,
                 const std::string& aName,
                 Core::Findings& aFindings)
{
  std::set<std::pair<std::string, std::string>> seen;
  for (const IniEntry& entry : aEntries) {
    if (!seen.emplace(entry.section, entry.key).second)
      aFindings.Add(aName + ':' + std::to_string(entry.line),
                    "[" + entry.section + "] " + entry.key +
                      " is set a second time");
  }
}

} // namespace

std::vector<IniEntry>
ReadIni(std::string_view aText,
        const std::string& aName,
        Core::Findings& aFindings)
{
  ReadState state;
  state.unread = aText;
  const int badLine = ini_parse_stream(&ReadLine, &state, &AddEntry, &state);
  if (badLine > 0)
    aFindings.Add(aName + ':' + std::to_string(badLine),
                  "is neither a [section], a key = value nor a comment");
  ReportLongLines(aText, aName, aFindings);
  ReportDuplicates(state.entries, aName, aFindings);
  return std::move(state.entries);
}

} // namespace Settings
