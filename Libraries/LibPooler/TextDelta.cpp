#include <LibPooler/TextDelta.h>

#include <unordered_map>
#include <vector>

namespace Pooler {

namespace {

std::vector<std::string_view>
PiecesOf(std::string_view aText)
{
  std::vector<std::string_view> pieces;
  while (!aText.empty()) {
    const std::size_t end = aText.find('}');
    const std::size_t size =
      end == std::string_view::npos ? aText.size() : end + 1;
    pieces.push_back(aText.substr(0, size));
    aText.remove_prefix(size);
  }
  return pieces;
}

/** Collects the elements of a delta, joining adjacent ones. */
class DeltaWriter
{
public:
  void AddPiece(std::size_t aIndex)
  {
    EndText();
    if (count_ > 0 && aIndex == first_ + count_) {
      ++count_;
      return;
    }
    EndRun();
    first_ = aIndex;
    count_ = 1;
  }

  void AddText(std::string_view aText)
  {
    EndRun();
    text_ += aText;
  }

  boost::json::array Take()
  {
    EndRun();
    EndText();
    return std::move(delta_);
  }

  /** The piece that would continue the current run. */
  std::size_t NextPiece() const { return first_ + count_; }

private:
  void EndRun()
  {
    if (count_ > 0)
      delta_.push_back(boost::json::array{ first_, count_ });
    first_ += count_;
    count_ = 0;
  }

  void EndText()
  {
    if (!text_.empty())
      delta_.emplace_back(text_);
    text_.clear();
  }

  boost::json::array delta_;
  std::size_t first_ = 0;
  std::size_t count_ = 0;
  std::string text_;
};

/** Appends the pieces of a pair [first, count]; false if there are none. */
bool
AppendRun(const std::vector<std::string_view>& aPieces,
          const boost::json::array& aRun,
          std::string& aText)
{
  if (aRun.size() != 2)
    return false;
  boost::system::error_code error;
  const auto first = aRun[0].to_number<std::size_t>(error);
  if (error)
    return false;
  const auto count = aRun[1].to_number<std::size_t>(error);
  if (error || first > aPieces.size() || count > aPieces.size() - first)
    return false;
  for (std::size_t i = first; i < first + count; ++i)
    aText += aPieces[i];
  return true;
}

} // namespace

boost::json::array
MakeTextDelta(std::string_view aBefore, std::string_view aAfter)
{
  const std::vector<std::string_view> known = PiecesOf(aBefore);
  std::unordered_map<std::string_view, std::size_t> places;
  for (std::size_t i = 0; i < known.size(); ++i)
    places.try_emplace(known[i], i);
  DeltaWriter writer;
  for (const std::string_view piece : PiecesOf(aAfter)) {
    const std::size_t next = writer.NextPiece();
    if (next < known.size() && known[next] == piece) {
      writer.AddPiece(next);
      continue;
    }
    const auto place = places.find(piece);
    if (place != places.end())
      writer.AddPiece(place->second);
    else
      writer.AddText(piece);
  }
  return writer.Take();
}

std::optional<std::string>
ApplyTextDelta(std::string_view aBefore, const boost::json::array& aDelta)
{
  const std::vector<std::string_view> pieces = PiecesOf(aBefore);
  std::string text;
  for (const boost::json::value& element : aDelta) {
    if (const boost::json::string* added = element.if_string()) {
      text += std::string_view(*added);
      continue;
    }
    const boost::json::array* run = element.if_array();
    if (run == nullptr || !AppendRun(pieces, *run, text))
      return std::nullopt;
  }
  return text;
}

std::optional<std::string>
ApplyTextDeltas(std::string_view aBefore, std::string_view aDeltas)
{
  boost::system::error_code error;
  const boost::json::value deltas = boost::json::parse(aDeltas, error);
  const boost::json::array* list = error ? nullptr : deltas.if_array();
  if (list == nullptr)
    return std::nullopt;
  std::string text(aBefore);
  for (const boost::json::value& delta : *list) {
    const boost::json::array* elements = delta.if_array();
    auto next =
      elements != nullptr ? ApplyTextDelta(text, *elements) : std::nullopt;
    if (!next)
      return std::nullopt;
    text = std::move(*next);
  }
  return text;
}

} // namespace Pooler
