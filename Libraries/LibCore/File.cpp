#include <LibCore/File.h>

#include <fstream>
#include <sstream>

namespace Core {

std::optional<std::string>
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file)
    return std::nullopt;
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

} // namespace Core
