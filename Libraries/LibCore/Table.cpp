#include <LibCore/Table.h>

#include <algorithm>
#include <iostream>

namespace Core {

void
PrintTable(const std::vector<std::vector<std::string>>& aRows)
{
  std::vector<std::size_t> widths;
  for (const auto& row : aRows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i)
      widths[i] = std::max(widths[i], row[i].size());
  }
  for (const auto& row : aRows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      if (i + 1 < row.size())
        line.append(widths[i] - row[i].size() + 2, ' ');
    }
    std::cout << line << '\n';
  }
}

} // namespace Core
