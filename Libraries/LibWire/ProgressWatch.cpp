#include <LibWire/ProgressWatch.h>

namespace Wire {

bool
ProgressWatch::IsTooSlow(const Progress& aProgress,
                         Core::Instant aNow,
                         Core::Duration aLimit)
{
  const bool hasMoved = aProgress.finished != before_.finished ||
                        aProgress.bytes - before_.bytes >= kEnoughBytes;
  if (!aProgress.isUnfinished || !before_.isUnfinished || hasMoved) {
    before_ = aProgress;
    since_ = aNow;
    return false;
  }
  return aNow - since_ >= aLimit;
}

} // namespace Wire
