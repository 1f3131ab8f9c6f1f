#pragma once

#include <string>
#include <vector>

namespace Core {

/** Prints aRows to standard output, with aligned columns. */
void
PrintTable(const std::vector<std::vector<std::string>>& aRows);

} // namespace Core
