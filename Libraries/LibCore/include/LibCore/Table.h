#pragma once

#include <string>
#include <vector>

namespace Core {

/** Prints rows on standard output as a table for people. */
void
PrintTable(const std::vector<std::vector<std::string>>& aRows);

} // namespace Core
